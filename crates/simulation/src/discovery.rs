//! Simulated discovery, pushed by an agent or polled, with its faults. The endpoint list and its versions are those of
//! the fake registry.

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

/// The time for which discovery keeps a call open that it does not answer.
const SILENT_CALL: Duration = Duration::from_secs(30);
/// The health of servers that may get new requests.
const ACTIVE: &str = "active";

/// The way in which discovery answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It answers.
    #[default]
    Up,
    /// It resets every call.
    Down,
    /// It does not answer.
    Silent,
    /// Its responses stop halfway.
    Truncated,
}

/// The discovery service, or the agents in front of it.
pub struct Discovery {
    endpoints: RefCell<EndpointList>,
    mode: Cell<DiscoveryMode>,
    /// The delay of each answer.
    answer_delay: Cell<Duration>,
    /// The number of times that all open connections have fallen silent.
    silence_count: Cell<u64>,
    /// Wakes calls that wait for a change.
    changed: Notify,
    server_count: usize,
    /// The number of sidecars that have an agent on their own host; zero if discovery is polled.
    agent_count: usize,
    oracle: Rc<RefCell<Oracle>>,
}

/// The information about a server in a response.
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
    /// Creates discovery with a list of `server_count` servers, and agents at the first `agent_count` sidecars.
    pub fn new(
        endpoints: EndpointList,
        server_count: usize,
        agent_count: usize,
        oracle: Rc<RefCell<Oracle>>,
    ) -> Discovery {
        Discovery {
            endpoints: RefCell::new(endpoints),
            mode: Cell::default(),
            answer_delay: Cell::default(),
            silence_count: Cell::default(),
            changed: Notify::new(),
            server_count,
            agent_count,
            oracle,
        }
    }

    /// Returns the complete endpoint list in the format of a response.
    pub fn snapshot(&self) -> String {
        self.endpoints.borrow().answer(None).unwrap_or_default()
    }

    /// Changes the endpoint list.
    pub fn change(&self, now: Duration, change: impl FnOnce(&mut EndpointList)) {
        change(&mut self.endpoints.borrow_mut());
        self.changed.notify_waiters();
        self.update_agents(now, 0..self.agent_count);
    }

    /// Changes the way in which discovery answers.
    pub fn set_mode(&self, now: Duration, mode: DiscoveryMode) {
        if self.mode.replace(mode) != mode {
            self.changed.notify_waiters();
            if mode != DiscoveryMode::Up {
                self.oracle.borrow_mut().agents_unavailable(now);
            }
            self.update_agents(now, 0..self.agent_count);
        }
    }

    /// Changes the delay of answers.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay.set(delay);
    }

    /// Stops answering on the connections that are open.
    pub fn silence_connections(&self) {
        self.silence_count.set(self.silence_count.get() + 1);
    }

    /// Reports the lists of the agents of these sidecars to the oracle. They count as notifications of the sidecars,
    /// whether or not the agents were polled. Agents that do not answer get no changes.
    pub fn update_agents(&self, now: Duration, sidecars: Range<usize>) {
        if self.mode.get() != DiscoveryMode::Up {
            return;
        }
        let endpoints = self.endpoints.borrow();
        for sidecar in sidecars.filter(|sidecar| *sidecar < self.agent_count) {
            for server in 0..self.server_count {
                let active = is_active(&endpoints, server);
                self.oracle.borrow_mut().agent_updated(now, sidecar, server, active);
            }
        }
    }

    /// Serves calls. To be spawned on the host of discovery; `start` is the start of the world.
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
        let silence_count = self.silence_count.get();
        loop {
            let Ok(Some(message)) = reader.next().await else { return };
            let Response { text, updates } = self.respond(&message).await;
            let delay = self.answer_delay.get();
            if !delay.is_zero() {
                SimRuntime::sleep(delay).await;
            }
            if self.silence_count.get() > silence_count {
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
            // A response to a process that has ended does not notify its successor.
            if socket.peer_closed() || reader.get_mut().write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let mut oracle = self.oracle.borrow_mut();
            for EndpointUpdate { server, active } in updates {
                oracle.endpoint_written(now(start), sidecar, server, active);
            }
        }
    }

    /// Returns the response to a call. A call with a version waits for a change.
    async fn respond(&self, message: &Message) -> Response {
        let version = message.query("from").and_then(|value| value.parse::<u64>().ok());
        if version.is_some() {
            let hold_ms = message.query("hold_ms").and_then(|value| value.parse().ok());
            let end = SimRuntime::now() + Duration::from_millis(hold_ms.unwrap_or(0));
            self.wait_for_change(version, end).await;
        }
        let endpoints = self.endpoints.borrow();
        let changes = endpoints.answer(version);
        let updates = match &changes {
            Some(changes) => self.updates(&endpoints, version, changes),
            None => Vec::new(),
        };
        let body = changes.unwrap_or_else(|| endpoints.empty_answer());
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Response { text, updates }
    }

    /// Waits for a change since `version`, at most until `end`. Returns at once if discovery does not answer.
    async fn wait_for_change(&self, version: Option<u64>, end: Instant) {
        loop {
            let changed = self.changed.notified();
            let up = self.mode.get() == DiscoveryMode::Up;
            if !up || self.endpoints.borrow().answer(version).is_some() {
                return;
            }
            if timeout_at::<SimRuntime, _>(end, changed).await.is_err() {
                return;
            }
        }
    }

    /// Returns the information about each server in a response. Servers that a complete list lacks are gone.
    fn updates(
        &self,
        endpoints: &EndpointList,
        version: Option<u64>,
        changes: &str,
    ) -> Vec<EndpointUpdate> {
        let mut updates = Vec::new();
        if changes.contains(r#""whole":true"#) {
            let all = 0..self.server_count;
            updates.extend(all.map(|server| EndpointUpdate { server, active: false }));
        }
        for entry in endpoints.answered_entries(version) {
            if let Some(server) = Server::index_of(&entry.host) {
                updates.push(EndpointUpdate { server, active: entry.health == ACTIVE });
            }
        }
        updates
    }
}

/// Whether a server may get new requests, according to its last entry.
fn is_active(endpoints: &EndpointList, server: usize) -> bool {
    let entries = endpoints.entries().iter();
    let mut of_server = entries.filter(|entry| Server::index_of(&entry.host) == Some(server));
    of_server.next_back().is_some_and(|entry| entry.health == ACTIVE)
}

/// Returns the index of the sidecar with this address. The addresses begin at 127.0.1.1.
fn sidecar_with_ip(ip: IpAddr) -> usize {
    match ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]).wrapping_sub(1),
        IpAddr::V6(_) => usize::MAX,
    }
}
