//! Fake service discovery: serves the endpoint list completely or as changes, with long polling.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::wire::{Message, Reader};

pub use faults::RegistryFaults;

mod faults;
#[cfg(test)]
mod tests;

/// The default listen backlog.
const BACKLOG: u32 = 1024;

/// The maximum number of changes that are kept. A watch from an older version gets the complete list.
const MAX_CHANGES: usize = 256;

/// A server in the endpoint list. The names of the fields are those of the protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The name of the server.
    pub host: String,
    /// The address of the server.
    pub dial: SocketAddr,
    /// The zone of the server.
    pub site: String,
    /// The machine type of the server.
    pub class: String,
    /// The cell of the server.
    pub block: u16,
    /// `active`, `leaving` or, among changes, `left`.
    pub health: &'static str,
    /// The relative capacity of the server.
    pub share: f64,
    /// The Unix time of its last start, in milliseconds. 0 means long ago.
    pub born_ms: u64,
}

impl Entry {
    /// Creates the entry of an active server that started long ago.
    pub fn new(dial: SocketAddr, site: &str) -> Entry {
        Entry {
            host: format!("s-{}", dial.port()),
            dial,
            site: site.to_owned(),
            class: "m".to_owned(),
            block: 0,
            health: "active",
            share: 1.0,
            born_ms: 0,
        }
    }
}

/// The endpoint list with its version and its latest changes. Does no I/O.
#[derive(Clone, Default)]
pub struct EndpointList {
    version: u64,
    entries: Vec<Entry>,
    /// The latest changes, each with the version of the list that contains it first.
    changes: Vec<(u64, Entry)>,
    /// The latest version whose changes are not kept any more.
    forgotten_version: u64,
}

#[derive(Clone, Default)]
struct State {
    list: EndpointList,
    down: bool,
    faults: RegistryFaults,
    /// The number of times that all connections open at that time have become silent.
    silences: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    complete: bool,
    hosts: Vec<&'a Entry>,
}

impl State {
    /// Returns whether a connection that was accepted after this number of silences gets no answers.
    fn is_silent_since(&self, silences: u64) -> bool {
        self.faults.silent || self.silences > silences
    }
}

impl EndpointList {
    /// Creates version 1 of a list.
    pub fn new(entries: Vec<Entry>) -> EndpointList {
        EndpointList { version: 1, entries, ..EndpointList::default() }
    }

    /// Drops all kept changes, so that every watch from an earlier version gets the complete list.
    pub fn forget_changes(&mut self) {
        self.changes.clear();
        self.version += 1;
        self.forgotten_version = self.version;
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the listed servers.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Adds a server, or replaces the one with the same name. A server with health `left` is removed.
    pub fn update(&mut self, entry: Entry) {
        self.update_all(vec![entry]);
    }

    /// Updates several servers like [`update`](Self::update), in one version.
    pub fn update_all(&mut self, entries: Vec<Entry>) {
        self.version += 1;
        for entry in entries {
            self.entries.retain(|listed| listed.host != entry.host);
            if entry.health != "left" {
                self.entries.push(entry.clone());
            }
            self.changes.push((self.version, entry));
        }
        while self.changes.len() > MAX_CHANGES {
            self.forgotten_version = self.changes.remove(0).0;
        }
    }

    /// Returns a copy of a server's entry with another health.
    pub fn with_health(&self, host: &str, health: &'static str) -> Option<Entry> {
        let entry = self.entries.iter().find(|entry| entry.host == host)?.clone();
        Some(Entry { health, ..entry })
    }

    /// Returns the servers in the answer to a client that has version `from`: the changed ones, or all.
    pub fn answered_entries(&self, from: Option<u64>) -> Vec<&Entry> {
        match self.known_version(from) {
            Some(known) => {
                let newer = self.changes.iter().filter(|(version, _)| *version > known);
                newer.map(|(_, entry)| entry).collect()
            }
            None => self.entries.iter().collect(),
        }
    }

    /// Returns a client's version if all changes since then are kept.
    fn known_version(&self, from: Option<u64>) -> Option<u64> {
        let kept = |v: &u64| *v >= self.forgotten_version;
        let kept_since =
            |v: &u64| *v <= self.version && self.version - v <= self.changes.len() as u64;
        from.filter(kept).filter(kept_since)
    }

    /// Returns the answer to a client that has version `from`. `None` if that is the current version.
    pub fn answer(&self, from: Option<u64>) -> Option<String> {
        let known = self.known_version(from);
        if known == Some(self.version) {
            return None;
        }
        let complete = known.is_none();
        let hosts = self.answered_entries(from);
        serde_json::to_string(&Answer { version: self.version, complete, hosts }).ok()
    }

    /// Returns an answer without changes.
    pub fn empty_answer(&self) -> String {
        format!(r#"{{"seq":{},"whole":false,"hosts":[]}}"#, self.version)
    }
}

/// A running discovery service for many sidecars. It stops when the last handle is dropped.
#[derive(Clone)]
pub struct Registry {
    /// The address that it listens at.
    pub at: SocketAddr,
    state: Arc<watch::Sender<State>>,
}

impl Registry {
    /// Starts discovery with this endpoint list on the shared runtime.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub fn start(list: Vec<Entry>) -> Registry {
        crate::runtime().block_on(Registry::open(list)).expect("a free port")
    }

    /// Starts discovery with this endpoint list on the current runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn open(list: Vec<Entry>) -> io::Result<Registry> {
        Registry::open_with_backlog(list, BACKLOG).await
    }

    /// Like [`open`](Self::open), with a listen backlog of about `backlog` connections. Further ones are not
    /// established.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn open_with_backlog(list: Vec<Entry>, backlog: u32) -> io::Result<Registry> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(backlog)?;
        let at = listener.local_addr()?;
        let list = EndpointList::new(list);
        let (state, watched) = watch::channel(State { list, ..State::default() });
        tokio::spawn(accept(listener, watched));
        Ok(Registry { at, state: Arc::new(state) })
    }

    /// Adds a server, or replaces the one with the same name.
    pub fn update(&self, entry: Entry) {
        self.state.send_modify(|state| state.list.update(entry));
    }

    /// Updates several servers like [`update`](Self::update), in one version.
    pub fn update_all(&self, entries: Vec<Entry>) {
        self.state.send_modify(|state| state.list.update_all(entries));
    }

    /// Updates several servers in one version, which every watch gets as a complete list.
    pub fn update_all_in_complete_list(&self, entries: Vec<Entry>) {
        self.state.send_modify(|state| {
            state.list.update_all(entries);
            state.list.forget_changes();
        });
    }

    /// Sets the faults from now on. Connections that were open during a silence stay silent after its end.
    pub fn set_faults(&self, faults: RegistryFaults) {
        self.state.send_modify(|state| {
            state.silences += u64::from(state.faults.silent && !faults.silent);
            state.faults = faults;
        });
    }

    /// Stops answering on all connections that are open now.
    pub fn silence_open_connections(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }

    /// Changes the health of a server. `left` removes it.
    pub fn set_health(&self, host: &str, health: &'static str) {
        let entry = self.state.borrow().list.with_health(host, health);
        if let Some(entry) = entry {
            self.update(entry);
        }
    }

    /// Returns the names of the listed servers.
    pub fn hosts(&self) -> Vec<String> {
        self.state.borrow().list.entries().iter().map(|entry| entry.host.clone()).collect()
    }

    /// Takes discovery down: connections are accepted, and closed without an answer.
    pub fn take_down(&self) {
        self.state.send_modify(|state| state.down = true);
    }

    /// Ends the outage.
    pub fn bring_up(&self) {
        self.state.send_modify(|state| state.down = false);
    }
}

async fn accept(listener: TcpListener, state: watch::Receiver<State>) {
    let mut ended = state.clone();
    let mut accepting = state.clone();
    loop {
        let socket = tokio::select! {
            biased;
            _ = ended.wait_for(|_| false) => return,
            socket = async {
                let _ = accepting.wait_for(|state| !state.faults.accepts_nothing).await;
                listener.accept().await
            } => socket,
        };
        if let Ok((socket, _)) = socket {
            tokio::spawn(serve(socket, state.clone()));
        }
    }
}

async fn serve(socket: TcpStream, mut state: watch::Receiver<State>) {
    let _ = socket.set_nodelay(true);
    let (silences, first_read_delay) = {
        let state = state.borrow();
        (state.silences, state.faults.first_read_delay)
    };
    sleep(first_read_delay).await;
    let mut reader = Reader::new(socket);
    loop {
        // `biased`: if a request and an outage are both ready, a random choice would sometimes answer a request that
        // began after the outage.
        let message = tokio::select! {
            biased;
            _ = state.wait_for(|state| state.down) => return,
            message = reader.next() => message,
        };
        let Ok(Some(message)) = message else { return };
        let mut watched = state.clone();
        let body = tokio::select! {
            biased;
            _ = state.wait_for(|state| state.down) => return,
            body = answer(&message, &mut watched) => body,
        };
        let answer_delay = state.borrow().faults.answer_delay;
        sleep(answer_delay).await;
        if state.borrow().is_silent_since(silences) {
            // The connection stays open until its client closes it.
            while let Ok(Some(_)) = reader.next().await {}
            return;
        }
        let status = if body.is_some() { "200 OK" } else { "404 Not Found" };
        let body = body.unwrap_or_default();
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let pause = state.borrow().faults.pause_within_answer;
        if write_in_halves(reader.get_mut(), text.as_bytes(), pause).await.is_err() {
            return;
        }
    }
}

/// Writes an answer in two halves with a pause in between.
async fn write_in_halves(socket: &mut TcpStream, text: &[u8], pause: Duration) -> io::Result<()> {
    if pause.is_zero() {
        return socket.write_all(text).await;
    }
    let (first, second) = text.split_at(text.len() / 2);
    socket.write_all(first).await?;
    sleep(pause).await;
    socket.write_all(second).await
}

/// Returns the body of the answer, or `None` for an unknown path. A request with `hold_ms` waits that long for a
/// change.
async fn answer(message: &Message, state: &mut watch::Receiver<State>) -> Option<String> {
    if message.path() != "/registry/instances" {
        return None;
    }
    let Some(from) = message.query("from").and_then(|version| version.parse().ok()) else {
        return state.borrow().list.answer(None);
    };
    let hold_ms = message.query("hold_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(hold_ms);
    let changed = state.wait_for(|state| state.list.answer(Some(from)).is_some());
    let _ = timeout_at(deadline, changed).await;
    // The state is borrowed once: otherwise a change just after the hold could be answered with the new version but
    // without the changed servers.
    let state = state.borrow();
    Some(state.list.answer(Some(from)).unwrap_or_else(|| state.list.empty_answer()))
}
