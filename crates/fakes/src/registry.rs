//! Discovery: the list of servers, told whole or as changes, watched, changed and taken down.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::wire::{Message, Reader};

/// Changes that are remembered one by one; a watch from before them gets the whole list.
const REMEMBERED: usize = 256;

/// One server as discovery lists it.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its kind of machine.
    pub class: String,
    /// Its cell.
    pub block: u16,
    /// `active`, `leaving` or, among changes, `left`.
    pub health: &'static str,
    /// Its power.
    pub share: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub born_ms: u64,
}

impl Entry {
    /// An active server that has run for long.
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

/// The list of servers, its versions and what changed in them. It does no I/O.
#[derive(Clone, Default)]
pub struct Book {
    seq: u64,
    list: Vec<Entry>,
    /// What changed, by the version that it made.
    changes: Vec<(u64, Entry)>,
}

#[derive(Clone, Default)]
struct State {
    book: Book,
    down: bool,
}

#[derive(Serialize)]
struct Answer<'a> {
    seq: u64,
    whole: bool,
    hosts: Vec<&'a Entry>,
}

impl Book {
    /// A first version.
    pub fn new(list: Vec<Entry>) -> Book {
        Book { seq: 1, list, ..Book::default() }
    }

    /// Forgets what changed: whoever has any version up to now gets the whole list.
    pub fn forget(&mut self) {
        self.changes.clear();
        self.seq += 1;
    }

    /// The version.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The servers listed.
    pub fn servers(&self) -> &[Entry] {
        &self.list
    }

    /// Lists `entry`, anew or in place of the one of its name; `left` takes it off the list.
    pub fn list(&mut self, entry: Entry) {
        self.list.retain(|e| e.host != entry.host);
        if entry.health != "left" {
            self.list.push(entry.clone());
        }
        self.seq += 1;
        self.changes.push((self.seq, entry));
        if self.changes.len() > REMEMBERED {
            self.changes.remove(0);
        }
    }

    /// The entry of this name in another state of health.
    pub fn marked(&self, host: &str, health: &'static str) -> Option<Entry> {
        let entry = self.list.iter().find(|e| e.host == host)?.clone();
        Some(Entry { health, ..entry })
    }

    /// The servers that an answer to one who has version `from` tells of; none: nothing new.
    pub fn told(&self, from: Option<u64>) -> Vec<&Entry> {
        match self.known(from) {
            Some(v) => self.changes.iter().filter(|(seq, _)| *seq > v).map(|(_, e)| e).collect(),
            None => self.list.iter().collect(),
        }
    }

    fn known(&self, from: Option<u64>) -> Option<u64> {
        from.filter(|v| *v <= self.seq && self.seq - v <= self.changes.len() as u64)
    }

    /// What there is to tell to one who has version `from`; none: nothing new.
    pub fn news(&self, from: Option<u64>) -> Option<String> {
        let known = self.known(from);
        if known == Some(self.seq) {
            return None;
        }
        let answer = Answer { seq: self.seq, whole: known.is_none(), hosts: self.told(from) };
        serde_json::to_string(&answer).ok()
    }

    /// The answer that tells nothing new.
    pub fn nothing(&self) -> String {
        format!(r#"{{"seq":{},"whole":false,"hosts":[]}}"#, self.seq)
    }
}

/// Discovery for many sidecars. It ends with its last handle.
#[derive(Clone)]
pub struct Registry {
    /// Where it listens.
    pub at: SocketAddr,
    state: Arc<watch::Sender<State>>,
}

impl Registry {
    /// Starts one with this list on the shared runtime.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub fn start(list: Vec<Entry>) -> Registry {
        crate::runtime().block_on(Registry::open(list)).expect("a free port")
    }

    /// Starts one with this list on the present runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn open(list: Vec<Entry>) -> io::Result<Registry> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let (state, seen) = watch::channel(State { book: Book::new(list), down: false });
        tokio::spawn(async move {
            let mut ended = seen.clone();
            loop {
                let socket = tokio::select! {
                    biased;
                    _ = ended.wait_for(|_| false) => return,
                    socket = listener.accept() => socket,
                };
                if let Ok((socket, _)) = socket {
                    tokio::spawn(serve(socket, seen.clone()));
                }
            }
        });
        Ok(Registry { at, state: Arc::new(state) })
    }

    /// Lists `entry`, anew or in place of the one of its name.
    pub fn list(&self, entry: Entry) {
        self.state.send_modify(|state| state.book.list(entry));
    }

    /// Marks the server of this name as leaving, or takes it off the list.
    pub fn mark(&self, host: &str, health: &'static str) {
        let entry = self.state.borrow().book.marked(host, health);
        if let Some(entry) = entry {
            self.list(entry);
        }
    }

    /// Takes it down, or up again. Down, it accepts, and resets every call.
    pub fn down(&self, down: bool) {
        self.state.send_modify(|state| state.down = down);
    }
}

async fn serve(socket: TcpStream, mut state: watch::Receiver<State>) {
    let _ = socket.set_nodelay(true);
    let mut reader = Reader::new(socket);
    loop {
        // Danger: the order matters. Where a call and the going down are both there, an unbiased
        // choice would let calls through now and then that began after the going down.
        let message = tokio::select! {
            biased;
            _ = state.wait_for(|s| s.down) => return,
            message = reader.next() => message,
        };
        let Ok(Some(message)) = message else { return };
        let mut news = state.clone();
        let body = tokio::select! {
            biased;
            _ = state.wait_for(|s| s.down) => return,
            body = answer(&message, &mut news) => body,
        };
        let head = match &body {
            Some(_) => "200 OK",
            None => "404 Not Found",
        };
        let body = body.unwrap_or_default();
        let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if reader.get_mut().write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn answer(message: &Message, state: &mut watch::Receiver<State>) -> Option<String> {
    if message.path() != "/registry/instances" {
        return None;
    }
    let Some(from) = message.query("from").and_then(|v| v.parse().ok()) else {
        return state.borrow().book.news(None);
    };
    let hold = message.query("hold_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(hold);
    let newer = timeout_at(end, state.wait_for(|s| s.book.news(Some(from)).is_some())).await;
    let news = newer.ok().and_then(Result::ok).and_then(|s| s.book.news(Some(from)));
    Some(news.unwrap_or_else(|| state.borrow().book.nothing()))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(port: u16) -> Entry {
        Entry::new(SocketAddr::from(([127, 0, 0, 1], port)), "a")
    }

    #[test]
    fn a_watch_gets_what_changed_and_an_old_one_the_whole_list() {
        let mut state = Book::new(vec![entry(1)]);
        assert!(state.news(None).expect("a list").contains(r#""whole":true"#));
        assert_eq!(state.news(Some(1)), None);
        state.seq = 2;
        state.changes.push((2, entry(2)));
        let news = state.news(Some(1)).expect("a change");
        assert!(news.contains(r#""whole":false"#) && news.contains("s-2") && !news.contains("s-1"));
        // A version from another life of discovery.
        assert!(state.news(Some(9)).expect("a list").contains(r#""whole":true"#));
        state.seq = 2 + REMEMBERED as u64;
        assert!(state.news(Some(1)).expect("a list").contains(r#""whole":true"#));
    }

    #[test]
    fn a_change_ends_a_wait_and_going_down_ends_a_call() {
        let registry = Registry::start(vec![entry(1)]);
        let ask = |hold: u64| {
            let at = registry.at;
            async move {
                let mut reader = Reader::new(TcpStream::connect(at).await.expect("up"));
                let text =
                    format!("GET /registry/instances?from=1&hold_ms={hold} HTTP/1.1\r\n\r\n");
                reader.get_mut().write_all(text.as_bytes()).await.expect("sent");
                reader.next().await.ok().flatten()
            }
        };
        let waiting = crate::runtime().spawn(ask(60_000));
        registry.list(entry(2));
        let told = crate::runtime().block_on(waiting).expect("no panic").expect("an answer");
        assert!(String::from_utf8_lossy(&told.body).contains("s-2"));
        registry.down(true);
        assert!(crate::runtime().block_on(ask(0)).is_none());
        registry.down(false);
        assert!(crate::runtime().block_on(ask(0)).is_some());
    }
}
