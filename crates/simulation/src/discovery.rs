//! Discovery, pushed by an agent or polled, and what may go wrong with it. The endpoint list and its
//! versions are those of the fake registry.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fakes::registry::EndpointList;
use fakes::wire::{Message, Reader};
use runtime::{Listener, Runtime, Stream, Tcp, timeout_at};
use simnet::{SimListener, SimRuntime, SimTcp};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

use crate::model::now;
use crate::oracle::Oracle;
use crate::server::Server;

/// How long discovery keeps a call that it does not answer.
const SILENT_CALL: Duration = Duration::from_secs(30);
/// The health of a server that may get new requests.
const ACTIVE: &str = "active";

/// How discovery answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    #[default]
    Up,
    /// It resets every call.
    Down,
    /// It does not answer.
    Silent,
    /// Its responses stop half way.
    Truncated,
}

/// Discovery.
pub struct Discovery {
    book: RefCell<EndpointList>,
    mode: Cell<DiscoveryMode>,
    /// How long an answer is on its way.
    answer_delay: Cell<Duration>,
    /// How often the connections that were open have fallen silent.
    silences: Cell<u64>,
    /// Wakes calls that wait for a change.
    changed: Notify,
    server_count: usize,
    /// How many sidecars have an agent on their own host; none if discovery is polled.
    agent_count: usize,
    oracle: Rc<RefCell<Oracle>>,
}

/// What a response tells of a server.
struct EndpointUpdate {
    /// The index of the server.
    server: usize,
    /// Whether it may get new requests.
    active: bool,
}

/// A response to a call.
struct Response {
    text: String,
    updates: Vec<EndpointUpdate>,
}

impl Discovery {
    /// Discovery with a list of `server_count` servers, and agents at the first `agent_count` sidecars.
    pub fn new(
        book: EndpointList,
        server_count: usize,
        agent_count: usize,
        oracle: Rc<RefCell<Oracle>>,
    ) -> Discovery {
        Discovery {
            book: RefCell::new(book),
            mode: Cell::default(),
            answer_delay: Cell::default(),
            silences: Cell::default(),
            changed: Notify::new(),
            server_count,
            agent_count,
            oracle,
        }
    }

    /// The complete endpoint list, as a response has it.
    pub fn snapshot(&self) -> String {
        self.book.borrow().answer(None).unwrap_or_default()
    }

    /// Changes the endpoint list.
    pub fn change(&self, now: Duration, change: impl FnOnce(&mut EndpointList)) {
        change(&mut self.book.borrow_mut());
        self.changed.notify_waiters();
        self.update_agents(now, 0..self.agent_count);
    }

    /// Changes how it answers.
    pub fn set_mode(&self, now: Duration, mode: DiscoveryMode) {
        if self.mode.replace(mode) != mode {
            self.changed.notify_waiters();
            if mode != DiscoveryMode::Up {
                self.oracle.borrow_mut().agents_unavailable(now);
            }
            self.update_agents(now, 0..self.agent_count);
        }
    }

    /// Changes how long answers are on their way.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay.set(delay);
    }

    /// Answers nothing any more on the connections that are open.
    pub fn silence_connections(&self) {
        self.silences.set(self.silences.get() + 1);
    }

    /// What the agents of these sidecars have counts as notified, whether or not they were polled. An agent that
    /// does not answer has nothing new.
    pub fn update_agents(&self, now: Duration, sidecars: Range<usize>) {
        if self.mode.get() != DiscoveryMode::Up {
            return;
        }
        let book = self.book.borrow();
        for sidecar in sidecars.filter(|sidecar| *sidecar < self.agent_count) {
            for server in 0..self.server_count {
                let active = is_active(&book, server);
                self.oracle.borrow_mut().agent_updated(now, sidecar, server, active);
            }
        }
    }

    /// Serves: to be spawned on its host. `start` is the start of the world.
    pub async fn run(self: Rc<Discovery>, listener: SimListener, start: Instant) {
        loop {
            if let Ok((socket, from)) = listener.accept().await {
                let sidecar = sidecar_with_ip(from.ip());
                SimRuntime::spawn(self.clone().serve_connection(Rc::new(socket), sidecar, start));
            }
        }
    }

    async fn serve_connection(
        self: Rc<Discovery>,
        socket: Rc<SimTcp>,
        sidecar: usize,
        start: Instant,
    ) {
        let mut reader = Reader::new(Stream::new(socket.clone(), Rc::new(())));
        let silences = self.silences.get();
        loop {
            let Ok(Some(message)) = reader.next().await else { return };
            let Response { text, updates } = self.respond(&message).await;
            let delay = self.answer_delay.get();
            if !delay.is_zero() {
                SimRuntime::sleep(delay).await;
            }
            if self.silences.get() > silences {
                return SimRuntime::sleep(SILENT_CALL).await;
            }
            match self.mode.get() {
                DiscoveryMode::Up => {}
                DiscoveryMode::Down => return socket.reset_on_close(),
                DiscoveryMode::Silent => return SimRuntime::sleep(SILENT_CALL).await,
                DiscoveryMode::Truncated => {
                    let half = &text.as_bytes()[..text.len() / 2];
                    let _ = reader.get_mut().write_all(half).await;
                    return;
                }
            }
            // What is written to a process that has ended tells its successor nothing.
            if socket.peer_closed() || reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let mut oracle = self.oracle.borrow_mut();
            for EndpointUpdate { server, active } in updates {
                oracle.endpoint_written(now(start), sidecar, server, active);
            }
        }
    }

    /// The response to a call. A call that names a version waits for a change.
    async fn respond(&self, message: &Message) -> Response {
        let version = message.query("from").and_then(|value| value.parse::<u64>().ok());
        if version.is_some() {
            let hold_ms = message.query("hold_ms").and_then(|value| value.parse().ok());
            let end = SimRuntime::now() + Duration::from_millis(hold_ms.unwrap_or(0));
            self.wait_for_change(version, end).await;
        }
        let book = self.book.borrow();
        let news = book.answer(version);
        let updates = match &news {
            Some(news) => self.updates(&book, version, news),
            None => Vec::new(),
        };
        let body = news.unwrap_or_else(|| book.empty_answer());
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Response { text, updates }
    }

    /// Waits until there is something newer than `version`, or discovery does not answer, or until `end`.
    async fn wait_for_change(&self, version: Option<u64>, end: Instant) {
        loop {
            let changed = self.changed.notified();
            let up = self.mode.get() == DiscoveryMode::Up;
            if !up || self.book.borrow().answer(version).is_some() {
                return;
            }
            if timeout_at::<SimRuntime, _>(end, changed).await.is_err() {
                return;
            }
        }
    }

    /// What a response tells of each server. Those that a complete list lacks are gone.
    fn updates(
        &self,
        book: &EndpointList,
        version: Option<u64>,
        news: &str,
    ) -> Vec<EndpointUpdate> {
        let mut updates = Vec::new();
        if news.contains(r#""whole":true"#) {
            let all = 0..self.server_count;
            updates.extend(all.map(|server| EndpointUpdate { server, active: false }));
        }
        for entry in book.answered_entries(version) {
            if let Some(server) = Server::index_of(&entry.host) {
                updates.push(EndpointUpdate { server, active: entry.health == ACTIVE });
            }
        }
        updates
    }
}

/// Whether a server may get new requests, by the last entry of its place.
fn is_active(book: &EndpointList, server: usize) -> bool {
    let entries = book.entries().iter();
    let mut of_server = entries.filter(|entry| Server::index_of(&entry.host) == Some(server));
    of_server.next_back().is_some_and(|entry| entry.health == ACTIVE)
}

/// The index of the sidecar with this address: 127.0.1.1 and on.
fn sidecar_with_ip(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]).wrapping_sub(1),
        IpAddr::V6(_) => usize::MAX,
    }
}
