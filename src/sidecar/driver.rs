//! The sole owner of the decisions. What happens on sockets goes in as events; every action that
//! comes out is carried out here, in order. Nothing else reasons about servers, retries or
//! refusals.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::Happened;
use runtime::Runtime;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{mpsc, oneshot};

use super::config::{List, Part};
use super::discovery::{self, Call};
use super::live::LiveConfig;
use super::peers::{self, Peers};
use super::status::Status;
use super::tier::Shared;
use super::timers::Timers;
use super::upstream::{Reached, Served, Span, Spec, Upstream};
use crate::api::{
    Action, Event, Health, ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId,
    ServerEntry, ServerId,
};
use crate::decide::Balancer;
use crate::settings::{Repeat, ReportHow, Settings};

/// A final answer should be on its way this long before the client stops waiting.
const MARGIN: Duration = Duration::from_millis(5);
/// The final answer to a request.
pub enum Reply {
    /// A server's answer, whole.
    Served(Served),
    /// Trying again is harmless.
    Refused {
        /// When to, if told.
        retry_after: Option<Duration>,
    },
    /// No promise.
    Failed,
}

impl Reply {
    /// What it is called in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Reply::Served(_) => "served",
            Reply::Refused { .. } => "refused",
            Reply::Failed => "failed",
        }
    }
}

/// A request that the driver has taken. Dropping it before its final answer is written means that
/// the client has gone.
pub struct Ticket<P: Runtime> {
    id: RequestId,
    driver: Rc<Driver<P>>,
    reply: oneshot::Receiver<Reply>,
}

impl<P: Runtime> Ticket<P> {
    /// The final answer.
    pub async fn reply(&mut self) -> Reply {
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl<P: Runtime> Drop for Ticket<P> {
    fn drop(&mut self) {
        self.driver.abandon(self.id, None);
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
    class: usize,
    reply: Option<oneshot::Sender<Reply>>,
    /// None once no further attempt can need it.
    spec: Option<Rc<Spec>>,
    attempts: Vec<Out>,
}

/// An attempt.
struct Out {
    /// What calls it off, while it is out.
    cancel: Option<oneshot::Sender<()>>,
    sent: Instant,
    /// It may have run, for all that is known.
    may_run: bool,
}

impl Pending {
    fn ended(&self) -> bool {
        self.reply.is_none()
    }

    /// No further attempt can need what it says, and none that waits for a connection.
    fn let_go(&mut self) -> Option<Rc<Spec>> {
        let spec = self.spec.take();
        spec.iter().for_each(|spec| spec.over.set(true));
        spec
    }

    fn forgettable(&self) -> bool {
        self.ended() && self.attempts.iter().all(|a| a.cancel.is_none())
    }

    /// Until when another attempt may begin, where servers drop repeats for so long.
    fn repeatable(&self, window: Duration) -> Option<Instant> {
        self.attempts.iter().filter(|a| a.may_run).map(|a| a.sent + window).min()
    }
}

struct Core {
    balancer: Balancer,
    requests: FxHashMap<RequestId, Pending>,
    next_id: u64,
    servers: FxHashMap<ServerId, Known>,
    /// Servers that operators have taken out, whatever discovery says.
    held_out: FxHashSet<ServerId>,
    listed: bool,
    /// Servers of the last list that were passed over.
    beyond: usize,
}

/// A server as discovery lists it.
struct Known {
    dial: SocketAddr,
    entry: ServerEntry,
    /// Whether it wants new work, as it is told to the module; shared with attempts on their way.
    wanted: Rc<Cell<bool>>,
}

impl Known {
    fn new(dial: SocketAddr, entry: ServerEntry) -> Known {
        Known { dial, entry, wanted: Rc::default() }
    }
}

impl Core {
    /// The server as the module is told of it.
    fn told(&self, mut entry: ServerEntry) -> ServerEntry {
        if entry.health == Health::Ready && self.held_out.contains(&entry.id) {
            entry.health = Health::Draining;
        }
        if let Some(known) = self.servers.get(&entry.id) {
            known.wanted.set(entry.health == Health::Ready);
        }
        entry
    }

    fn dial(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|s| s.dial)
    }
}

/// The way to the other sidecars, where there is one, and what they know together.
pub struct Others<P: Runtime> {
    /// Datagrams.
    pub peers: Option<Rc<Peers<P>>>,
    /// This sidecar's part in the tier.
    pub tier: Option<Rc<Shared<P>>>,
}

/// Owns the decisions and carries them out.
pub struct Driver<P: Runtime> {
    core: RefCell<Core>,
    timers: Timers<P>,
    clock: (Micros, Instant),
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    upstream: Rc<Upstream<P>>,
    discovery: mpsc::UnboundedSender<Call>,
    others: Others<P>,
    probe_reports: bool,
    /// How long servers drop repeats of a class's keyed requests.
    windows: Vec<Option<Duration>>,
}

impl<P: Runtime> Driver<P> {
    /// A driver with nothing under way.
    pub fn new(
        settings: Settings,
        seed: u64,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        upstream: Rc<Upstream<P>>,
        discovery: mpsc::UnboundedSender<Call>,
        others: Others<P>,
    ) -> Rc<Driver<P>> {
        // `born_ms` of servers is Unix time, so the module's clock is, too; it never steps back.
        let clock = (P::unix_time().as_micros() as Micros, P::now());
        let probe_reports = settings.report.how != ReportHow::Silent;
        let windows = settings
            .classes
            .iter()
            .map(|c| (c.repeat == Repeat::Keyed).then(|| Duration::from_micros(c.window)));
        let windows = windows.collect();
        let core = RefCell::new(Core {
            balancer: Balancer::new(settings, seed, clock.0),
            requests: FxHashMap::default(),
            next_id: 0,
            servers: FxHashMap::default(),
            held_out: FxHashSet::default(),
            listed: false,
            beyond: 0,
        });
        let timers = Timers::default();
        Rc::new(Driver {
            core,
            timers,
            clock,
            live,
            status,
            upstream,
            discovery,
            others,
            probe_reports,
            windows,
        })
    }

    /// Tells the module of its timers as they run out; never ends.
    pub async fn ring(self: Rc<Driver<P>>) {
        loop {
            let token = self.timers.next().await;
            self.event(Event::Timer { token });
        }
    }

    fn now(&self) -> Micros {
        self.clock.0 + P::elapsed_since(self.clock.1).as_micros() as Micros
    }

    fn event(self: &Rc<Driver<P>>, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.now();
        self.core.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Rc<Driver<P>>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => {
                let mut core = self.core.borrow_mut();
                let request = core.requests.get_mut(&id);
                // The attempt goes on to be told as cancelled, or as what it came to just now.
                let cancel = request.and_then(|r| r.attempts.get_mut(attempt)?.cancel.take());
                if let Some(cancel) = cancel {
                    let _ = cancel.send(());
                }
            }
            Action::Refuse { id, retry_after } => {
                self.happened(Happened::Refused);
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.end(id, Reply::Refused { retry_after });
            }
            Action::Fail { id } => {
                self.happened(Happened::Failed);
                self.end(id, Reply::Failed);
            }
            Action::Timer { delay, token } => {
                self.timers.set(Duration::from_micros(delay), token);
            }
            Action::Probe { server } => {
                let dial = self.core.borrow().dial(server);
                let driver = self.clone();
                P::spawn(async move {
                    let sent = P::now();
                    let (outcome, report) = match dial {
                        Some(dial) => driver.upstream.probe(dial, driver.probe_reports).await,
                        None => (Outcome::ConnectFailed, LoadReport::default()),
                    };
                    let latency = P::elapsed_since(sent).as_micros() as Micros;
                    driver.event(Event::Probed { server, outcome, latency, report });
                });
            }
            Action::CloseIdle { server } => self.upstream.close_idle(server),
            // Discovery runs as long as the driver does.
            Action::Subscribe => drop(self.discovery.send(Call::Watch)),
            Action::FetchList => self.fetch(),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.others.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Log { text } => tracing::info!("{text}"),
        }
    }

    // ---- What happens ----

    /// Takes a whole request.
    pub fn request(self: &Rc<Driver<P>>, asked: Asked, spec: Spec) -> Ticket<P> {
        let (reply, waiting) = oneshot::channel();
        let id = {
            let mut core = self.core.borrow_mut();
            core.next_id += 1;
            let id = RequestId(core.next_id);
            let pending = Pending {
                class: asked.class,
                reply: Some(reply),
                spec: Some(Rc::new(spec)),
                attempts: Vec::new(),
            };
            core.requests.insert(id, pending);
            id
        };
        let left = self.patience(asked.class, asked.left);
        let mut within = true;
        if let Some(tier) = &self.others.tier {
            within = tier.asked(asked.class, asked.tenant);
            let gossip::Budget { share, saved } = tier.budget();
            self.core.borrow_mut().balancer.may_repeat(share, saved);
        }
        self.event(Event::Request(NewRequest {
            id,
            class: asked.class,
            tenant: asked.tenant,
            key: asked.key,
            left: left.as_micros() as Micros,
            hint: asked.hint,
            repeat: asked.repeat,
            beyond: !within,
        }));
        Ticket { id, driver: self.clone(), reply: waiting }
    }

    /// How long a request of a class may take that its client will wait for so long.
    ///
    /// Danger: a client can claim to wait for weeks, and would be remembered as long. No client
    /// of its class waits longer than the class does.
    pub fn patience(&self, class: usize, left: Duration) -> Duration {
        let left = left.min(self.live.deadline(class));
        left - MARGIN.min(left / 4)
    }

    fn happened(&self, what: Happened) {
        if let Some(tier) = &self.others.tier {
            tier.happened(what);
        }
    }

    /// What the sidecars of the tier know together, where this one takes part.
    pub fn tier(&self) -> Option<&Shared<P>> {
        self.others.tier.as_deref()
    }

    /// Settings that differ only in what can change live, and the clubs in them.
    pub fn reconfigure(&self, settings: Settings, clubs: (u16, Vec<f64>)) {
        if let Some(tier) = &self.others.tier {
            tier.reconfigure(clubs);
        }
        self.core.borrow_mut().balancer.reconfigure(settings);
    }

    /// Ends all requests that have no answer yet: the process is about to end.
    pub fn give_up(self: &Rc<Driver<P>>) {
        let open: Vec<_> = {
            let core = self.core.borrow();
            core.requests.iter().filter(|(_, r)| !r.ended()).map(|(&id, _)| id).collect()
        };
        for id in open {
            self.abandon(id, Some(Reply::Failed));
        }
    }

    /// Nobody waits for a request any more, but for this answer.
    fn abandon(self: &Rc<Driver<P>>, id: RequestId, last: Option<Reply>) {
        {
            let mut core = self.core.borrow_mut();
            let Some(request) = core.requests.get_mut(&id).filter(|r| !r.ended()) else {
                return;
            };
            let reply = request.reply.take();
            if let (Some(reply), Some(last)) = (reply, last) {
                self.status.count(request.class, |c| c.failed += 1);
                let _ = reply.send(last);
            }
            // The module calls nothing off once a stream has begun.
            if request.let_go().is_some_and(|spec| spec.upload.is_some()) {
                for cancel in request.attempts.iter_mut().filter_map(|a| a.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
        }
        self.event(Event::ClientGone { id });
        self.forget(id);
    }

    /// Discovery's news.
    ///
    /// Danger: servers are ever new. Addresses are kept of those alone that are listed, and what
    /// rests on the way to one that is to get nothing more is closed at once.
    pub fn servers<S: AsRef<str>>(self: &Rc<Driver<P>>, kind: ListKind, list: &List<S>) {
        let names = self.live.names();
        let most = self.live.max_servers();
        let mut beyond = FxHashSet::default();
        let entries: Vec<_> = {
            let mut core = self.core.borrow_mut();
            let mut before = match kind {
                ListKind::Changes => FxHashMap::default(),
                _ => std::mem::take(&mut core.servers),
            };
            for host in &list.hosts {
                let id = host.id();
                let known = match host.dial.filter(|_| host.listed()) {
                    // Danger: what is known must be known of for as long as it is used, so it goes first; what
                    // would be beyond the bound was never used.
                    Some(_)
                        if core.servers.len() + before.len() >= most
                            && !core.servers.contains_key(&id)
                            && !before.contains_key(&id) =>
                    {
                        beyond.insert(id);
                        continue;
                    }
                    Some(dial) => {
                        let mut known = Known::new(dial, names.entry(host));
                        let old = core.servers.remove(&id).or_else(|| before.remove(&id));
                        if let Some(old) = &old {
                            known.wanted = old.wanted.clone();
                        }
                        core.servers.insert(id, known);
                        old.map(|k| k.dial)
                    }
                    None => core.servers.remove(&id).map(|k| {
                        k.wanted.set(false);
                        k.dial
                    }),
                };
                if known.is_some_and(|known| Some(known) != host.dial) || !host.wants_work() {
                    self.upstream.close_idle(id);
                }
            }
            for (id, gone) in &before {
                gone.wanted.set(false);
                self.upstream.close_idle(*id);
            }
            core.listed |= !list.hosts.is_empty();
            if !beyond.is_empty() {
                self.status.list_too_long();
                if core.beyond != beyond.len() {
                    let (passed_over, listed) = (beyond.len(), list.hosts.len());
                    tracing::error!(
                        listed,
                        most,
                        passed_over,
                        "more servers than limits.memory_mb allows are listed"
                    );
                }
            }
            core.beyond = beyond.len();
            let taken = list.hosts.iter().filter(|h| !beyond.contains(&h.id()));
            taken.map(|h| core.told(names.entry(h))).collect()
        };
        self.event(Event::Servers { kind, entries: &entries });
    }

    /// Asks discovery for the whole list.
    pub fn fetch(&self) {
        // Discovery runs as long as the driver does.
        let _ = self.discovery.send(Call::Fetch);
    }

    /// Takes these servers out and puts all others back, as discovery has them.
    ///
    /// Danger: to the module a server that is out drains, so the rule on drains holds for it, and what
    /// rests on the way to it is closed.
    pub fn hold_out(self: &Rc<Driver<P>>, out: impl Iterator<Item = ServerId>) {
        let entries: Vec<_> = {
            let mut core = self.core.borrow_mut();
            let now: FxHashSet<ServerId> = out.collect();
            let before = std::mem::replace(&mut core.held_out, now);
            let changed = before.symmetric_difference(&core.held_out);
            let listed = changed.filter_map(|id| core.servers.get(id));
            listed.map(|s| core.told(s.entry.clone())).collect()
        };
        for entry in entries.iter().filter(|e| e.health != Health::Ready) {
            self.upstream.close_idle(entry.id);
        }
        if !entries.is_empty() {
            self.event(Event::Servers { kind: ListKind::Changes, entries: &entries });
        }
    }

    /// Whether discovery lists this server.
    pub fn knows(&self, server: ServerId) -> bool {
        self.core.borrow().servers.contains_key(&server)
    }

    /// How many servers are listed, and how many of them get nothing, by hand or by choice.
    pub fn pool(&self) -> (usize, usize) {
        let core = self.core.borrow();
        let avoided =
            |id: &&ServerId| core.held_out.contains(*id) || core.balancer.is_put_out(**id);
        (core.servers.len(), core.servers.keys().filter(avoided).count())
    }

    /// How many requests are taken and not ended.
    pub fn open(&self) -> usize {
        self.core.borrow().requests.values().filter(|r| !r.ended()).count()
    }

    /// Whether any server was ever listed.
    pub fn listed(&self) -> bool {
        self.core.borrow().listed
    }

    // ---- Attempts ----

    fn send(self: &Rc<Driver<P>>, id: RequestId, server: ServerId, wait: Micros) {
        let (cancel, cancelled) = oneshot::channel();
        let wanted = Rc::default();
        let mut span = Span { start_by: None, window: None, until: P::now(), wanted };
        let (n, way) = {
            let mut core = self.core.borrow_mut();
            let dial = core.dial(server);
            if let Some(known) = core.servers.get(&server) {
                span.wanted = known.wanted.clone();
            }
            let Some(request) = core.requests.get_mut(&id) else {
                drop(core);
                return self.moot(id, 0, server);
            };
            let sent = P::now();
            span.until = sent + Duration::from_micros(wait);
            // Danger: an attempt may wait for its connection, and what it repeats is forgotten meanwhile.
            span.window = self.windows[request.class];
            span.start_by = span.window.and_then(|w| request.repeatable(w));
            request.attempts.push(Out { cancel: Some(cancel), sent, may_run: true });
            let whole = |spec: &Rc<Spec>| spec.upload.as_ref().is_none_or(|u| u.is_replayable());
            let spec = request.spec.clone().filter(|spec| !request.ended() && whole(spec));
            (request.attempts.len() - 1, spec.zip(dial))
        };
        let Some((spec, dial)) = way else {
            return self.moot(id, n, server);
        };
        self.happened(Happened::Attempt);
        if n > 0 {
            self.happened(Happened::Repeat);
        }
        P::spawn(self.clone().attempt(id, n, (server, dial), spec, span, cancelled));
    }

    /// Tells, not before the present event is dealt with, that an attempt was never sent.
    fn moot(self: &Rc<Driver<P>>, id: RequestId, n: usize, server: ServerId) {
        let driver = self.clone();
        P::spawn(async move {
            driver.over(id, n, server, 0, Reached::end(Outcome::Moot));
        });
    }

    async fn attempt(
        self: Rc<Driver<P>>,
        id: RequestId,
        n: usize,
        (server, dial): (ServerId, SocketAddr),
        spec: Rc<Spec>,
        span: Span,
        cancelled: oneshot::Receiver<()>,
    ) {
        let (sent, until) = (P::now(), span.until);
        let upload = spec.upload.clone();
        let over = async {
            match &upload {
                None => P::sleep_until(until).await,
                // Its time runs from its last byte on. From when some of it has left it is a stream to
                // the module: nothing else can be sent.
                Some(upload) => {
                    upload.streaming_started().await;
                    self.event(Event::FirstByte { id, attempt: n });
                    tokio::select! {
                        biased;
                        () = upload.completed() => {
                            P::sleep_until(upload.deadline().unwrap_or_else(P::now)).await;
                        }
                        () = upload.stalled::<P>() => {}
                    }
                }
            }
        };
        let reached = tokio::select! {
            biased;
            reached = self.upstream.attempt(server, dial, &spec, span) => reached,
            // Given up by the module, or because nothing can come of it any more.
            _ = cancelled => Reached::end(Outcome::Cancelled),
            () = over => Reached::end(Outcome::TimedOut),
        };
        drop(spec);
        let since = upload.and_then(|u| u.completed_at()).map_or(sent, |end| sent.max(end));
        self.over(id, n, server, P::elapsed_since(since).as_micros() as Micros, reached);
    }

    /// Tells an attempt's outcome. The first answer served goes to the client.
    fn over(
        self: &Rc<Driver<P>>,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        latency: Micros,
        reached: Reached,
    ) {
        let Reached { outcome, report, answer } = reached;
        let (mut finished, mut mendable) = (true, false);
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            if let Some(out) = request.attempts.get_mut(attempt) {
                out.cancel = None;
                out.may_run = !outcome.never_ran();
            }
            if let Some(served) = answer
                && let Some(reply) = request.reply.take()
            {
                self.status.count(request.class, |c| c.served += 1);
                let _ = reply.send(Reply::Served(served));
            }
            finished = request.ended();
            mendable = request.spec.as_ref().is_some_and(|spec| spec.repeat != Repeat::Unsafe);
            if finished {
                request.let_go();
            }
        }
        let broke = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::TimedOut);
        if broke && mendable && !finished {
            self.happened(Happened::Broke);
        }
        self.event(Event::Answer { id, attempt, server, outcome, latency, finished, report });
        self.forget(id);
    }

    fn end(self: &Rc<Driver<P>>, id: RequestId, reply: Reply) {
        if let Some(request) = self.core.borrow_mut().requests.get_mut(&id) {
            request.let_go();
            if let Some(to) = request.reply.take() {
                self.status.count(request.class, |c| match &reply {
                    Reply::Served(_) => c.served += 1,
                    Reply::Refused { .. } => c.rejected += 1,
                    Reply::Failed => c.failed += 1,
                });
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

impl<P: Runtime> discovery::Listener for Rc<Driver<P>> {
    fn list(&self, kind: ListKind, list: &List<Part<'_>>) {
        self.servers(kind, list);
    }

    fn most_servers(&self) -> usize {
        self.live.max_servers()
    }

    fn too_long(&self) {
        self.status.list_too_long();
    }

    fn failed(&self) {
        self.event(Event::Servers { kind: ListKind::Failed, entries: &[] });
    }
}

impl<P: Runtime> peers::Inbox for Rc<Driver<P>> {
    fn note(&self, from: u32, data: &[u8]) {
        if !self.others.tier.as_ref().is_some_and(|tier| tier.hear(from, data)) {
            self.event(Event::Note { from, data });
        }
    }
}
