//! The sole owner of the decisions. What happens on sockets goes in as events; every action that
//! comes out is carried out here, in order. Nothing else reasons about servers, retries or
//! refusals.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::config::{List, Names};
use super::discovery::Call;
use super::peers::Peers;
use super::upstream::{Head, Long, Reached, Spec, Upstream};
use crate::api::{
    Action, Event, ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId, ServerId,
};
use crate::decide::Balancer;
use crate::settings::{ReportHow, Settings};

/// A final answer should be on its way this long before the client stops waiting.
const MARGIN: Duration = Duration::from_millis(5);
/// A server that stops within an answer for so long will not go on with it.
const SERVER_STALL: Duration = Duration::from_secs(10);
/// Servers that are gone are remembered no longer once there are so many names.
const MOST_SERVERS: usize = 4096;

/// The final answer to a request.
pub enum Reply {
    /// A server's answer, whole.
    Served(Head, Bytes),
    /// A server's answer that is still coming in.
    Long(LongReply),
    /// Trying again is harmless.
    Refused {
        /// When to, if told.
        retry_after: Option<Duration>,
    },
    /// No promise.
    Failed,
}

/// A long answer as the client gets it.
pub struct LongReply {
    /// Its head.
    pub head: Head,
    /// Its length, if it was announced.
    pub length: Option<u64>,
    /// Its pieces. They end with `Ok(None)` if the answer is whole.
    pub pieces: mpsc::Receiver<Option<Bytes>>,
}

/// A request that the driver has taken. Dropping it before its final answer is written means that
/// the client has gone.
pub struct Ticket {
    id: RequestId,
    driver: Rc<Driver>,
    reply: oneshot::Receiver<Reply>,
}

impl Ticket {
    /// The final answer.
    pub async fn reply(&mut self) -> Reply {
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.client_gone(self.id);
    }
}

/// What a client's request says of itself.
pub struct Asked {
    /// Its class's place in the settings.
    pub class: usize,
    /// Its tenant's place in the settings.
    pub tenant: usize,
    /// What it is about; 0: unknown.
    pub key: u64,
    /// How long the client will wait.
    pub left: Duration,
    /// The client's guess at the work.
    pub hint: Option<Micros>,
    /// A client's repeat.
    pub repeat: bool,
}

struct Pending {
    reply: Option<oneshot::Sender<Reply>>,
    /// None once no further attempt can need it.
    spec: Option<Rc<Spec>>,
    /// What calls off each attempt that is out.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    /// The attempt whose long answer is being passed on.
    streaming: Option<usize>,
}

impl Pending {
    fn ended(&self) -> bool {
        self.reply.is_none() && self.streaming.is_none()
    }

    fn forgettable(&self) -> bool {
        self.ended() && self.attempts.iter().all(Option::is_none)
    }
}

struct Core {
    balancer: Balancer,
    requests: HashMap<RequestId, Pending>,
    next_id: u64,
    servers: HashMap<ServerId, SocketAddr>,
    listed: bool,
}

/// Owns the decisions and carries them out.
pub struct Driver {
    core: RefCell<Core>,
    clock: (Micros, Instant),
    names: Rc<Names>,
    upstream: Rc<Upstream>,
    discovery: mpsc::UnboundedSender<Call>,
    peers: Option<Rc<Peers>>,
    probe_reports: bool,
}

impl Driver {
    /// A driver with nothing under way.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: Rc<Names>,
        upstream: Rc<Upstream>,
        discovery: mpsc::UnboundedSender<Call>,
        peers: Option<Rc<Peers>>,
    ) -> Rc<Driver> {
        // `born_ms` of servers is Unix time, so the module's clock is, too; it never steps back.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = (unix.as_micros() as Micros, Instant::now());
        let probe_reports = settings.report.how != ReportHow::Silent;
        let core = RefCell::new(Core {
            balancer: Balancer::new(settings, seed, clock.0),
            requests: HashMap::new(),
            next_id: 0,
            servers: HashMap::new(),
            listed: false,
        });
        Rc::new(Driver { core, clock, names, upstream, discovery, peers, probe_reports })
    }

    fn now(&self) -> Micros {
        self.clock.0 + self.clock.1.elapsed().as_micros() as Micros
    }

    fn event(self: &Rc<Driver>, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.now();
        self.core.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Driver>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => {
                let mut core = self.core.borrow_mut();
                let request = core.requests.get_mut(&id).filter(|r| r.streaming.is_none());
                // The attempt goes on to be told as cancelled, or as what it came to just now.
                let cancel = request.and_then(|r| r.attempts.get_mut(attempt)?.take());
                if let Some(cancel) = cancel {
                    let _ = cancel.send(());
                }
            }
            Action::Refuse { id, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.end(id, Reply::Refused { retry_after });
            }
            Action::Fail { id } => self.end(id, Reply::Failed),
            Action::Timer { delay, token } => {
                let driver = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(delay)).await;
                    driver.event(Event::Timer { token });
                });
            }
            Action::Probe { server } => {
                let dial = self.core.borrow().servers.get(&server).copied();
                let driver = self.clone();
                spawn_local(async move {
                    let sent = Instant::now();
                    let (outcome, report) = match dial {
                        Some(dial) => driver.upstream.probe(dial, driver.probe_reports).await,
                        None => (Outcome::ConnectFailed, LoadReport::default()),
                    };
                    let latency = sent.elapsed().as_micros() as Micros;
                    driver.event(Event::Probed { server, outcome, latency, report });
                });
            }
            Action::CloseIdle { server } => self.upstream.close_idle(server),
            // Discovery runs as long as the driver does.
            Action::Subscribe => drop(self.discovery.send(Call::Watch)),
            Action::FetchList => drop(self.discovery.send(Call::Fetch)),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    // ---- What happens ----

    /// Takes a whole request.
    pub fn request(self: &Rc<Driver>, asked: Asked, spec: Spec) -> Ticket {
        let (reply, waiting) = oneshot::channel();
        let id = {
            let mut core = self.core.borrow_mut();
            core.next_id += 1;
            let id = RequestId(core.next_id);
            let pending = Pending {
                reply: Some(reply),
                spec: Some(Rc::new(spec)),
                attempts: Vec::new(),
                streaming: None,
            };
            core.requests.insert(id, pending);
            id
        };
        let margin = MARGIN.min(asked.left / 4);
        self.event(Event::Request(NewRequest {
            id,
            class: asked.class,
            tenant: asked.tenant,
            key: asked.key,
            left: (asked.left - margin).as_micros() as Micros,
            hint: asked.hint,
            repeat: asked.repeat,
        }));
        Ticket { id, driver: self.clone(), reply: waiting }
    }

    fn client_gone(self: &Rc<Driver>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(request) = core.requests.get_mut(&id).filter(|r| !r.ended()) else {
                return;
            };
            request.reply = None;
            request.spec = None;
            if request.streaming.is_some() {
                // The attempt itself finds nobody to pass the answer on to.
                return;
            }
        }
        self.event(Event::ClientGone { id });
        self.forget(id);
    }

    /// Discovery's news.
    pub fn servers(self: &Rc<Driver>, kind: ListKind, list: &List) {
        {
            let mut core = self.core.borrow_mut();
            if kind != ListKind::Changes && core.servers.len() > MOST_SERVERS {
                core.servers.clear();
            }
            for host in &list.hosts {
                let id = host.id();
                let Some(dial) = host.dial else { continue };
                if core.servers.insert(id, dial).is_some_and(|before| before != dial) {
                    self.upstream.close_idle(id);
                }
            }
            core.listed |= !list.hosts.is_empty();
        }
        let entries: Vec<_> = list.hosts.iter().map(|h| self.names.entry(h)).collect();
        self.event(Event::Servers { kind, entries: &entries });
    }

    /// A call of discovery failed, or the subscription broke.
    pub fn discovery_failed(self: &Rc<Driver>) {
        self.event(Event::Servers { kind: ListKind::Failed, entries: &[] });
    }

    /// A datagram of another sidecar.
    pub fn note(self: &Rc<Driver>, from: u32, data: &[u8]) {
        self.event(Event::Note { from, data });
    }

    /// Whether any server was ever listed.
    pub fn listed(&self) -> bool {
        self.core.borrow().listed
    }

    // ---- Attempts ----

    fn send(self: &Rc<Driver>, id: RequestId, server: ServerId, wait: Micros) {
        let (cancel, cancelled) = oneshot::channel();
        let (n, way) = {
            let mut core = self.core.borrow_mut();
            let dial = core.servers.get(&server).copied();
            let Some(request) = core.requests.get_mut(&id) else {
                drop(core);
                return self.moot(id, 0, server);
            };
            request.attempts.push(Some(cancel));
            let spec =
                request.spec.clone().filter(|_| !request.ended() && request.streaming.is_none());
            (request.attempts.len() - 1, spec.zip(dial))
        };
        let Some((spec, dial)) = way else {
            return self.moot(id, n, server);
        };
        let wait = Duration::from_micros(wait);
        spawn_local(self.clone().attempt(id, n, (server, dial), spec, wait, cancelled));
    }

    /// Tells, not before the present event is dealt with, that an attempt was never sent.
    fn moot(self: &Rc<Driver>, id: RequestId, n: usize, server: ServerId) {
        let driver = self.clone();
        spawn_local(async move {
            driver.over(id, n, server, Outcome::Moot, 0, LoadReport::default(), None);
        });
    }

    async fn attempt(
        self: Rc<Driver>,
        id: RequestId,
        n: usize,
        (server, dial): (ServerId, SocketAddr),
        spec: Rc<Spec>,
        wait: Duration,
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = Instant::now();
        let elapsed = || sent.elapsed().as_micros() as Micros;
        let end = |outcome| Reached::End { outcome, report: LoadReport::default(), answer: None };
        let reached = tokio::select! {
            biased;
            reached = self.upstream.attempt(server, dial, &spec, sent + wait) => reached,
            // Given up by the module, or because nothing can come of it any more.
            _ = cancelled => end(Outcome::Cancelled),
            () = tokio::time::sleep(wait) => end(Outcome::TimedOut),
        };
        drop(spec);
        match reached {
            Reached::End { outcome, report, answer } => {
                self.over(id, n, server, outcome, elapsed(), report, answer);
            }
            Reached::Long(long) => {
                let report = long.report.clone();
                let latency = elapsed();
                let outcome = self.pass_on(id, n, *long).await;
                self.over(id, n, server, outcome, latency, report, None);
            }
        }
    }

    /// Passes a long answer on as it comes, at the client's pace.
    async fn pass_on(self: &Rc<Driver>, id: RequestId, n: usize, mut long: Long) -> Outcome {
        let (to_client, pieces) = mpsc::channel(1);
        {
            let mut core = self.core.borrow_mut();
            let request = core.requests.get_mut(&id).filter(|r| r.streaming.is_none());
            let Some((request, reply)) = request.and_then(|r| r.reply.take().map(|to| (r, to)))
            else {
                return Outcome::Cancelled;
            };
            request.streaming = Some(n);
            request.spec = None;
            let head = std::mem::take(&mut long.head);
            let _ = reply.send(Reply::Long(LongReply { head, length: long.length, pieces }));
        }
        self.event(Event::FirstByte { id, attempt: n });
        loop {
            let piece = tokio::select! {
                piece = timeout(SERVER_STALL, long.next()) => piece,
                () = to_client.closed() => return Outcome::Cancelled,
            };
            match piece {
                Ok(Some(Ok(piece))) => {
                    if to_client.send(Some(piece)).await.is_err() {
                        return Outcome::Cancelled;
                    }
                }
                Ok(None) => {
                    let _ = to_client.send(None).await;
                    return Outcome::Served;
                }
                // Danger: the channel's end without a word is how the client comes to see that
                // the answer is not whole.
                Ok(Some(Err(_))) | Err(_) => return Outcome::Reset,
            }
        }
    }

    /// Tells an attempt's outcome. The first answer served goes to the client.
    #[allow(clippy::too_many_arguments)]
    fn over(
        self: &Rc<Driver>,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        report: LoadReport,
        answer: Option<(Head, Bytes)>,
    ) {
        let mut finished = true;
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            if let Some(out) = request.attempts.get_mut(attempt) {
                *out = None;
            }
            if request.streaming == Some(attempt) {
                request.streaming = None;
            }
            if let Some((head, body)) = answer
                && let Some(reply) = request.reply.take()
            {
                let _ = reply.send(Reply::Served(head, body));
            }
            finished = request.ended();
            if finished {
                request.spec = None;
            }
        }
        self.event(Event::Answer { id, attempt, server, outcome, latency, finished, report });
        self.forget(id);
    }

    fn end(self: &Rc<Driver>, id: RequestId, reply: Reply) {
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            request.spec = None;
            if let Some(to) = request.reply.take() {
                let _ = to.send(reply);
            }
        }
        self.forget(id);
    }

    fn forget(&self, id: RequestId) {
        let mut core = self.core.borrow_mut();
        if core.requests.get(&id).is_some_and(Pending::forgettable) {
            core.requests.remove(&id);
        }
    }
}
