//! Clients: their connections and requests. A request is taken when it is whole, and gets one
//! answer; those of one connection follow one another in order.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use instance_status::State;
use runtime::{Listener, Observer, Platform, Stream, Tcp, linger, timeout};
use tokio::sync::Notify;

use super::budget::{self, Place, Room, Sockets};
use super::config::stable_hash;
use super::driver::{Asked, Driver, Reply};
use super::framing::{Fault, Framing, LONGEST_HEAD, Side};
use super::ids::Ids;
use super::live::Live;
use super::relay::{Broken, Paced, ROOM, Source, Upload, WINDOW, pace};
use super::status::{Status, VERSION};
use super::upstream::{Served, Spec};
use crate::api::Micros;
use crate::settings::Repeat;

/// A connection without a request may be closed after 2 s, and a client that says nothing, or
/// does not come to an end with what it says, is owed a close within 3 s.
const PATIENCE: Duration = Duration::from_millis(2500);
/// A client that goes on reading may take so long for an answer.
const SLOWEST_READ: Duration = Duration::from_secs(10);
/// Between two looks at a client whose request is under way: its time is the module's.
const LOOK: Duration = Duration::from_millis(250);
/// The same at one of whose body something waits unread.
const GLANCE: Duration = Duration::from_millis(5);
/// How long an ended connection is read on, and how far, so that what the client still sends does
/// not take its answer away.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 << 10;
/// Among many clients, one that has rested so long since its answer may be let go: a client that
/// goes on sends its next request sooner, or opens another connection at no cost to servers.
const RESTED: Duration = Duration::from_millis(100);
/// The same of one that has not asked yet: what it sends first would be lost with the connection.
const UNUSED: Duration = Duration::from_secs(1);
/// So many bytes of a body may wait unread with the system while no server takes them.
const UNREAD: u64 = 256 << 10;
/// For so long after a failed accept descriptors are said to have run out.
const SHORT: Duration = Duration::from_secs(2);
/// A pause before accepting again when the system has no descriptor left.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);

/// Clients that are sent away go to others once they, or who directs them, have seen it.
pub const AWAY_SEEN: Duration = Duration::from_millis(400);

/// Where a connection's client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of a request has come.
    Resting,
    /// Part of a request has come.
    Partial,
    /// The rest of a long body is coming; its pace is watched where it is read.
    Uploading,
    /// A request is whole, and its answer is awaited.
    Taken,
    /// The answer is made; some of it may be unwritten.
    Answered,
    /// All is said; what the client still sends is read and thrown away.
    Lingering,
}

/// One client's connection, as it is seen from outside.
///
/// Danger: this guards against every client that holds a connection and does not come to an end,
/// silent, trickling or not reading: each phase that is the client's has a time of its own, which
/// nothing renews but reading on and, for a body, sending on at some pace. Harmful to honest clients
/// that are slower.
struct Client<P: Platform> {
    /// Held by its connection alone.
    socket: Weak<P::Tcp>,
    phase: Cell<Phase>,
    framing: RefCell<Framing>,
    fault: Cell<Option<Fault>>,
    /// hyper has all of the last answer; what is flushed next is its end.
    complete: Cell<bool>,
    /// When the phase began, or, in an answer, when the client last took some of it.
    since: Cell<Instant>,
    /// When the answer was made.
    made: Cell<Instant>,
    /// Bytes read of this request, then written of its answer.
    passed: Cell<u64>,
    /// When the last byte of a request came: as early as it may have been.
    come: Rc<Cell<Option<Instant>>>,
    /// When something last came that cannot have waited unread, and the bytes since.
    news: Cell<(Instant, u64)>,
    /// All that had come was read.
    waits: Cell<bool>,
    /// How long its answer has waited for its server, and since when it does again.
    excused: Cell<(Duration, Option<Instant>)>,
    /// No request was ever whole here.
    fresh: Cell<bool>,
    /// How long it may have waited to be accepted.
    waited: Duration,
    leave: Notify,
}

impl<P: Platform> Client<P> {
    fn new(socket: &Rc<P::Tcp>, waited: Duration, longest: usize) -> Client<P> {
        Client {
            socket: Rc::downgrade(socket),
            phase: Cell::new(Phase::Resting),
            framing: RefCell::new(Framing::new(Side::Requests, longest)),
            fault: Cell::new(None),
            complete: Cell::new(false),
            since: Cell::new(P::now()),
            made: Cell::new(P::now()),
            passed: Cell::new(0),
            come: Rc::default(),
            news: Cell::new((P::now(), 0)),
            waits: Cell::new(true),
            excused: Cell::new((Duration::ZERO, None)),
            fresh: Cell::new(true),
            waited,
            leave: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(P::now());
    }

    /// Whether a request of its own is under way.
    fn busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Uploading | Phase::Taken | Phase::Answered)
    }

    /// In a crowd, who is to go first: the lower, the sooner. None: not to go at all.
    fn rank(&self) -> Option<(u8, Instant)> {
        let first = match self.phase.get() {
            Phase::Uploading | Phase::Taken | Phase::Answered => return None,
            Phase::Lingering => 0,
            Phase::Resting => 1,
            Phase::Partial => 2,
        };
        Some((first, self.since.get()))
    }

    /// Whether it may be on the point of asking: it has come just now, or what it has sent is not read yet.
    ///
    /// Danger: a connection that is closed under a request takes this with it, and the client has to come
    /// again; one that never had an answer does not even know that it may.
    fn about_to_ask(&self) -> bool {
        let new = self.fresh.get() && P::since(self.since.get()) < RESTED;
        self.phase.get() == Phase::Resting && (new || !self.has_had_its_say())
    }

    /// Whether all that it has sent was read, or is thrown away.
    ///
    /// Danger: of one that was accepted just now nothing is read yet, though a whole request may be there, and
    /// that is taken. Harmful in a crowd of clients that all send on: none makes room until one's time is up.
    fn has_had_its_say(&self) -> bool {
        let unread = |socket: Rc<P::Tcp>| !socket.at_rest() && !socket.ended();
        self.phase.get() == Phase::Lingering || !self.socket.upgrade().is_some_and(unread)
    }

    /// How long it has been at rest, if that is long enough to be let go among many.
    fn rested(&self) -> Option<Duration> {
        let least = if self.fresh.get() { UNUSED } else { RESTED };
        let rested = P::since(self.since.get());
        (self.phase.get() == Phase::Resting && rested >= least).then_some(rested)
    }

    /// Waits until the client has had its time.
    async fn stalled(&self) {
        loop {
            let now = P::now();
            let next = match self.phase.get() {
                Phase::Uploading | Phase::Taken => now + LOOK,
                Phase::Answered => {
                    let (excused, waiting) = self.excused.get();
                    let longest = SLOWEST_READ + pace(self.passed.get()) + excused;
                    match waiting {
                        Some(_) => now + LOOK,
                        None => (self.since.get() + PATIENCE).min(self.made.get() + longest),
                    }
                }
                Phase::Partial => self.since.get() + PATIENCE + pace(self.passed.get()),
                _ => self.since.get() + PATIENCE,
            };
            if next <= now {
                return;
            }
            P::sleep_until(next).await;
        }
    }
}

impl<P: Platform> Client<P> {
    /// What `work` comes to, unless the client leaves first.
    ///
    /// Danger: while nobody takes the rest of a body, the end of the connection waits behind it, and an
    /// attempt would begin for a client that has left. Harmful to clients that end their sending side
    /// right behind a long body and still want the answer: they get none, as they would behind a short one.
    async fn unless_gone<T>(&self, work: impl Future<Output = T>) -> Result<T, Gone> {
        let gone = async {
            loop {
                P::sleep(GLANCE).await;
                if !self.waits.get() && self.socket.upgrade().is_none_or(|s| s.ended()) {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = gone => Err(Gone),
        }
    }
}

impl<P: Platform> Observer for Client<P> {
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        if !bytes.is_empty() && self.phase.get() == Phase::Resting {
            self.phase.set(Phase::Partial);
            self.passed.set(0);
            // A new connection's first request has its time from when it came.
            if !self.fresh.get() {
                self.since.set(P::now());
            }
        }
        if self.phase.get() == Phase::Partial {
            self.passed.set(self.passed.get() + bytes.len() as u64);
        }
        let mut framing = self.framing.borrow_mut();
        framing.feed(bytes).map_err(|fault| {
            self.fault.set(Some(fault));
            io::Error::new(io::ErrorKind::InvalidData, fault)
        })?;
        // Danger: the rest of a long body waits with the system until an attempt wants it, and its
        // time runs from when it came. Harmful where the client was still sending meanwhile: then
        // its time is taken for shorter than it is.
        let (since, unread) = self.news.get();
        let unread = unread + bytes.len() as u64;
        let fresh = self.waits.replace(false) || unread > UNREAD;
        self.news.set(if fresh { (P::now(), 0) } else { (since, unread) });
        if self.come.get().is_none() && framing.whole() {
            self.come.set(Some(self.news.get().0));
        }
        Ok(())
    }

    fn on_wait(&self) {
        self.waits.set(true);
    }

    fn on_write(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Answered {
            self.passed.set(self.passed.get() + bytes.len() as u64);
            self.since.set(P::now());
        }
    }

    fn may_end(&self) -> bool {
        self.fault.get().is_none()
    }

    fn on_flush(&self) {
        if self.complete.replace(false) && self.phase.get() == Phase::Answered {
            self.framing.borrow_mut().next();
            self.come.set(None);
            self.enter(Phase::Resting);
        }
    }
}

/// The side of the sidecar that clients see.
pub struct Ingress<P: Platform> {
    driver: Rc<Driver<P>>,
    name: String,
    live: Rc<Live>,
    status: Rc<Status>,
    sockets: Rc<Sockets>,
    bytes: budget::Bytes,
    ids: Ids<P>,
    /// By their numbers, so in the order in which they came.
    clients: RefCell<BTreeMap<u64, Rc<Client<P>>>>,
    accepted: Cell<(u64, Instant)>,
    /// In a planned end: until when requests have to be answered.
    draining: Cell<Option<Instant>>,
    /// Since when clients are sent away, if they are.
    away: Cell<Option<Instant>>,
    /// Told when that changes.
    pub away_changed: Notify,
    tried: Cell<bool>,
    /// When accepting last failed.
    short: Cell<Option<Instant>>,
    /// The second that it is, and how answers tell it.
    date: RefCell<(u64, HeaderValue)>,
}

impl<P: Platform> Ingress<P> {
    /// An ingress without clients.
    pub fn new(
        driver: Rc<Driver<P>>,
        name: String,
        live: Rc<Live>,
        status: Rc<Status>,
        sockets: Rc<Sockets>,
        bytes: budget::Bytes,
    ) -> Rc<Ingress<P>> {
        Rc::new(Ingress {
            driver,
            name,
            live,
            status,
            sockets,
            bytes,
            ids: Ids::default(),
            clients: RefCell::default(),
            accepted: Cell::new((0, P::now())),
            draining: Cell::new(None),
            away: Cell::new(None),
            away_changed: Notify::new(),
            tried: Cell::new(false),
            short: Cell::new(None),
            date: RefCell::new((0, HeaderValue::from_static(""))),
        })
    }

    /// Discovery has answered, or failed to: what is known of servers is as new as can be.
    pub fn discovery_tried(&self) {
        self.tried.set(true);
        self.status.changed.notify_one();
    }

    /// From now on each answer is the last on its connection, and made by then.
    pub fn drain(&self, by: Instant) {
        self.draining.set(Some(by));
        self.status.changed.notify_one();
    }

    /// Sends clients away, or calls them back.
    pub fn send_away(&self, away: bool) {
        if away != self.away.get().is_some() {
            self.away.set(away.then(P::now));
            self.away_changed.notify_one();
            self.status.changed.notify_one();
        }
    }

    /// For how long clients have been sent away, if they are.
    pub fn away(&self) -> Option<Duration> {
        self.away.get().map(P::since)
    }

    /// Whether requests can be served: discovery was tried, and servers are known.
    pub fn serves(&self) -> bool {
        self.tried.get() && self.driver.listed()
    }

    /// Whether clients may come: requests can be served, and operators want them here.
    pub fn ready(&self) -> bool {
        self.serves() && self.away.get().is_none()
    }

    /// What the sidecar tells of itself.
    pub fn state(&self) -> State {
        State {
            name: self.name.clone(),
            pid: std::process::id(),
            version: VERSION.into(),
            generation: self.live.generation(),
            declined: self.status.declined(),
            ready: self.ready(),
            draining: self.draining.get().is_some(),
            clients: self.clients.borrow().len(),
            open: self.busy(),
            short: self.short.get().is_some_and(|at| P::since(at) < SHORT),
            counts: self.status.counts(),
        }
    }

    /// When the last connection came.
    pub fn last_accepted(&self) -> Instant {
        self.accepted.get().1
    }

    /// How many connections clients have.
    pub fn connected(&self) -> usize {
        self.clients.borrow().len()
    }

    /// How many requests are under way.
    pub fn busy(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.busy()).count()
    }

    /// Whether no request is under way or about to come, and what was answered has reached its clients,
    /// as far as can be seen.
    pub fn owes_nothing(&self) -> bool {
        let owed =
            |c: &Client<P>| c.busy() || c.phase.get() == Phase::Lingering || c.about_to_ask();
        !self.clients.borrow().values().any(|c| owed(c))
    }

    /// Ends all requests that have no answer yet.
    pub fn give_up(&self) {
        self.driver.give_up();
    }

    /// Closes the connections on which no request is under way or about to come; `partial`: those too
    /// on which one has begun to come.
    pub fn close_idle(&self, partial: bool) {
        for client in self.clients.borrow().values() {
            let phase = client.phase.get();
            let rests = phase == Phase::Resting && !client.about_to_ask();
            if rests || (partial && phase == Phase::Partial) {
                client.leave.notify_one();
            }
        }
    }

    /// Closes the connections that have been at rest for a while.
    pub fn close_rested(&self) {
        for client in self.clients.borrow().values().filter(|c| c.rested().is_some()) {
            client.leave.notify_one();
        }
    }

    /// Accepts clients for as long as it is polled.
    ///
    /// Danger: what waits to be accepted while all places are taken is under way already for its
    /// client, and its time runs. Nobody tells since when it waits; it came no sooner than accepting
    /// last fell behind. Harmful to clients that connect in a crowd and ask later: their first
    /// request has less time than they say.
    pub async fn accept(self: Rc<Ingress<P>>, listener: P::Listener) {
        let mut behind: Option<Instant> = None;
        loop {
            let asked = P::now();
            let place = self.place().await;
            if P::now() > asked {
                behind.get_or_insert(asked);
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => {
                    behind = None;
                    listener.accept().await
                }
            };
            match accepted {
                Ok((socket, _)) => {
                    let n = self.accepted.get().0 + 1;
                    self.accepted.set((n, P::now()));
                    self.thin_out();
                    let waited = behind.map_or(Duration::ZERO, P::since);
                    P::spawn(self.clone().client(n, socket, place, waited));
                }
                Err(e) => {
                    // Danger: an accept that fails for want of descriptors (or because the client
                    // is gone again) must not end accepting.
                    tracing::warn!(error = %e, "accepting failed");
                    self.short.set(Some(P::now()));
                    self.evict();
                    behind.get_or_insert(P::now());
                    P::sleep(NO_DESCRIPTOR).await;
                }
            }
        }
    }

    /// A place for one more client. In a crowd one that has nothing under way makes room.
    async fn place(&self) -> Place {
        loop {
            let free = self.sockets.clients.clone();
            if let Ok(place) = free.clone().try_acquire_owned() {
                return place;
            }
            self.evict();
            if let Ok(Ok(place)) = timeout::<P, _>(NO_DESCRIPTOR, free.acquire_owned()).await {
                return place;
            }
        }
    }

    /// With each client that comes when there are many, lets the two go that have rested longest.
    ///
    /// Danger: clients may hold only so many connections. Where they ask once and keep the
    /// connection, theirs are used up by those at rest long before our places are, and what they
    /// want to ask next never gets here. It covers crowds that connect for a look and stay, too.
    /// Harmful to clients with many connections in slow turns: they connect anew each time.
    fn thin_out(&self) {
        let clients = self.clients.borrow();
        let spare = clients.len().saturating_sub(self.sockets.many_clients()).min(2);
        if spare == 0 {
            return;
        }
        let mut rested: Vec<_> = clients.values().filter_map(|c| Some((c.rested()?, c))).collect();
        rested.sort_unstable_by_key(|c| std::cmp::Reverse(c.0));
        for (_, client) in rested.into_iter().take(spare) {
            client.leave.notify_one();
        }
    }

    fn evict(&self) {
        let clients = self.clients.borrow();
        let mut ranked: Vec<_> = clients.values().filter_map(|c| Some((c.rank()?, c))).collect();
        ranked.sort_unstable_by_key(|c| c.0);
        if let Some((_, client)) = ranked.into_iter().find(|(_, client)| client.has_had_its_say()) {
            client.leave.notify_one();
        }
    }

    async fn client(self: Rc<Ingress<P>>, n: u64, socket: P::Tcp, place: Place, waited: Duration) {
        let _ = socket.set_nodelay();
        let socket = Rc::new(socket);
        let client = Rc::new(Client::new(&socket, waited, self.live.longest()));
        self.clients.borrow_mut().insert(n, client.clone());
        let io = TokioIo::new(Stream::new(socket.clone(), client.clone()));
        let mut connection = Box::pin(
            http1::Builder::new()
                .max_buf_size(LONGEST_HEAD)
                .header_read_timeout(None)
                // It would be the system's time, whatever the platform's is.
                .auto_date_header(false)
                .serve_connection(
                    io,
                    service_fn(|request| self.clone().serve(client.clone(), request)),
                ),
        );
        let answered = tokio::select! {
            biased;
            ended = connection.as_mut() => ended.map_or_else(|e| e.is_parse(), |()| true),
            () = client.leave.notified() => false,
            () = client.stalled() => {
                if client.phase.get() == Phase::Partial {
                    self.turn_away(&client, &socket, StatusCode::REQUEST_TIMEOUT);
                }
                false
            }
        };
        // What is under way here ends with the connection; so it is not answered twice.
        drop(connection);
        let faulty = client.fault.get().is_some_and(|fault| {
            matches!(client.phase.get(), Phase::Partial | Phase::Uploading | Phase::Taken)
                && self.turn_away(&client, &socket, fault.status())
        });
        if answered || faulty {
            client.enter(Phase::Lingering);
            tokio::select! {
                biased;
                () = linger::<P>(&socket, LINGER, LINGER_BYTES) => {}
                () = client.leave.notified() => {}
            }
        } else if client.busy() {
            // Danger: an answer cut short must not look whole to anyone.
            socket.reset_on_close();
        }
        self.clients.borrow_mut().remove(&n);
        drop(socket);
        drop(place);
    }

    /// Answers, in hyper's place, a request that hyper is not to see or will not see whole. To be
    /// used only while nothing of an answer has been written.
    fn turn_away(&self, client: &Client<P>, socket: &P::Tcp, status: StatusCode) -> bool {
        client.enter(Phase::Answered);
        let text = format!(
            "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            status.as_str(),
            status.canonical_reason().unwrap_or_default()
        );
        let written = socket.try_write(text.as_bytes()).is_ok_and(|n| n == text.len());
        client.enter(Phase::Lingering);
        written
    }

    async fn serve(
        self: Rc<Ingress<P>>,
        client: Rc<Client<P>>,
        request: Request<Incoming>,
    ) -> Result<Response<Answer<P>>, Gone> {
        client.complete.set(false);
        let mut response = match self.reply(&client, request).await? {
            Ok(reply) => written(reply),
            Err(status) => plain(status),
        };
        // Danger: what a client sends once it was told that something is wrong with its request
        // is not to be relied upon; and where only hyper saw a body's end, what follows was not
        // looked at. Neither goes on on the same connection.
        let unusable = !response.status().is_success() && client.phase.get() != Phase::Taken;
        let leaving = self.draining.get().is_some() || self.away().is_some_and(|t| t >= AWAY_SEEN);
        if leaving || unusable || !client.framing.borrow().whole() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.headers_mut().entry(header::DATE).or_insert_with(|| self.date());
        client.enter(Phase::Answered);
        client.made.set(P::now());
        client.passed.set(0);
        client.excused.set((Duration::ZERO, None));
        client.fresh.set(false);
        let (head, Content { first, rest, room }) = response.into_parts();
        let body = Full::new(first);
        Ok(Response::from_parts(head, Answer { body, rest, client, _room: room }))
    }

    /// The time of day as answers tell it (RFC 9110, section 6.6.1); made once a second.
    fn date(&self) -> HeaderValue {
        let now = P::unix().as_secs();
        let mut date = self.date.borrow_mut();
        if date.0 != now {
            let text = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(now));
            *date = (now, HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("")));
        }
        date.1.clone()
    }

    /// The answer to one request, or the status that tells what is wrong with it.
    async fn reply(
        &self,
        client: &Rc<Client<P>>,
        request: Request<Incoming>,
    ) -> Result<Result<Reply, StatusCode>, Gone> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/health/ready" && head.method == Method::GET {
            return Ok(Err(if self.ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }));
        }
        if head.uri.path() == "/health/version" && head.method == Method::GET {
            return Ok(Ok(self.version()));
        }
        let (mut asked, id, repeat) = match self.asked(&head) {
            Ok(asked) => asked,
            Err(status) => return Ok(Err(status)),
        };
        if client.fresh.get() {
            asked.left = asked.left.saturating_sub(client.waited);
        }
        if let Some(by) = self.draining.get() {
            asked.left = asked.left.min(by.saturating_duration_since(P::now()));
        }
        if head.method == Method::GET && !body.is_end_stream() {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        let mut room = None;
        let (mut first, mut upload) = (Bytes::new(), None);
        if !body.is_end_stream() {
            let length = body.size_hint().exact();
            let kept = length.filter(|&n| n <= WINDOW as u64);
            // Danger: taken only when the bytes are here, room would be overdrawn by all who send
            // at once. A client whose time runs out while it waits has had no attempt.
            let wanted = self.bytes.room(kept.map_or(ROOM, |n| n as usize));
            room = client.unless_gone(wanted).await?;
            let rest;
            (first, rest) = read(body, kept.map_or(WINDOW, |n| n as usize)).await?;
            upload = rest.map(|rest| {
                let longest = self.live.longest().saturating_sub(first.len()) as u64;
                let source: Source = Box::pin(Arriving {
                    body: Paced::<P>::of_client(rest, longest),
                    client: client.clone(),
                });
                let left = self.driver.patience(asked.class, asked.left);
                Upload::new::<P>(first.clone(), source, length, left, client.come.clone())
            });
        }
        // Danger: what waited to be accepted or for room may be of a client that has left meanwhile, and an
        // attempt would begin for nobody. Harmful as in `unless_gone`.
        if client.socket.upgrade().is_none_or(|socket| socket.ended()) {
            return Err(Gone);
        }
        // Danger: servers know requests by their ids. A second one under the id of a first that may
        // still be out there would pass for a repeat of it.
        let Some(_open) = self.ids.open(id) else {
            return Ok(Err(StatusCode::CONFLICT));
        };
        client.enter(if upload.is_none() { Phase::Taken } else { Phase::Uploading });
        let target = head.uri.path_and_query().cloned().map(hyper::Uri::from);
        let headers = passed_on(&head.headers);
        let target = target.unwrap_or_default();
        let method = head.method.clone();
        let upload_of = upload.clone();
        let (body, over) = (first, Cell::default());
        let spec = Spec { repeat, method, target, headers, body, upload: upload_of, room, over };
        let (class, began) = (asked.class, P::now());
        let mut ticket = self.driver.request(asked, spec);
        let reply = match upload {
            // Danger: behind a body of chunks that only hyper saw the end of, something may wait unread, and
            // the end of the connection behind that.
            None if !client.framing.borrow().whole() => client.unless_gone(ticket.reply()).await?,
            None => ticket.reply().await,
            Some(upload) => {
                let reply = client.unless_gone(ticket.reply()).await?;
                upload.drain().await.map_err(|Broken| Gone)?;
                reply
            }
        };
        let took_us = P::since(began).as_micros() as u64;
        tracing::debug!(request = id, class, answer = reply.name(), took_us, "answered");
        Ok(Ok(reply))
    }

    /// The answer that tells the state of the sidecar.
    fn version(&self) -> Reply {
        let body = serde_json::to_vec(&self.state()).unwrap_or_default();
        let mut head = HeaderMap::new();
        head.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Reply::Served(Served { head, body: body.into(), rest: None, room: None })
    }

    /// What a request's head asks for; refused are heads that say too little or the wrong thing.
    fn asked<'a>(
        &self,
        head: &'a hyper::http::request::Parts,
    ) -> Result<(Asked, &'a str, Repeat), StatusCode> {
        let text = |name: &str| head.headers.get(name).map(|v| v.to_str().map(str::trim));
        let text = |name: &str| text(name).transpose().map_err(|_| StatusCode::BAD_REQUEST);
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let names = self.live.names();
        let class = names.classes.get(class).ok_or(StatusCode::NOT_FOUND)?;
        let keyed = text("idempotency-key")?.is_some();
        match (class.repeat, &head.method) {
            (Repeat::Safe, &Method::GET) | (Repeat::Keyed | Repeat::Unsafe, &Method::POST) => {}
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        }
        if class.repeat != Repeat::Safe && keyed != (class.repeat == Repeat::Keyed) {
            return Err(StatusCode::BAD_REQUEST);
        }
        let id = text("x-correlation-id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(StatusCode::BAD_REQUEST)?;
        // One id, one key, one time: of several, a server might go by another than this.
        let alone = ["x-correlation-id", "idempotency-key", "x-time-left-ms", "x-account"];
        if alone.iter().any(|name| head.headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(StatusCode::BAD_REQUEST);
        }
        let tenant = match text("x-account")? {
            _ if names.tenants.is_empty() => 0,
            name => {
                *name.and_then(|name| names.tenants.get(name)).ok_or(StatusCode::BAD_REQUEST)?
            }
        };
        let left = text("x-time-left-ms")?.and_then(|v| v.parse::<u32>().ok());
        let left = left.ok_or(StatusCode::BAD_REQUEST)?;
        let asked = Asked {
            class: class.index,
            tenant,
            key: head.headers.get_all(header::COOKIE).iter().find_map(key).unwrap_or(0),
            left: Duration::from_millis(left.into()),
            hint: text("x-weight-hint")?.and_then(|v| v.parse::<Micros>().ok()),
            repeat: text("x-repeat")? == Some("1"),
        };
        Ok((asked, id, class.repeat))
    }
}

/// What the cookie `k` names.
fn key(cookies: &HeaderValue) -> Option<u64> {
    let pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(name, _)| name.trim() == "k").map(|(_, v)| v.trim()).next()?;
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| stable_hash(value.as_bytes())))
}

/// The headers of a message that go beyond this hop.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let this_hop = |name: &HeaderName| {
        matches!(
            name.as_str(),
            "connection"
                | "content-length"
                | "expect"
                | "keep-alive"
                | "proxy-authenticate"
                | "proxy-authorization"
                | "proxy-connection"
                | "te"
                | "trailer"
                | "transfer-encoding"
                | "upgrade"
                | "x-backend-load"
                | "x-unprocessed"
        ) || named.contains(name)
    };
    let kept = headers.iter().filter(|(name, _)| !this_hop(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Reads a body whole or, if it is longer, `most` bytes and a little more; then the rest comes behind.
async fn read(mut body: Incoming, most: usize) -> Result<(Bytes, Option<Incoming>), Gone> {
    // Danger: bodies that come byte by byte would cost many times their size if each byte were
    // kept as it came.
    let mut first = BytesMut::with_capacity(most);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Gone)?.into_data() else { continue };
        first.extend_from_slice(&data);
        if first.len() >= most && !body.is_end_stream() {
            return Ok((first.freeze(), Some(body)));
        }
    }
    Ok((first.freeze(), None))
}

/// The rest of a client's long body.
struct Arriving<P: Platform> {
    body: Paced<P>,
    client: Rc<Client<P>>,
}

impl<P: Platform> Body for Arriving<P> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.client.enter(Phase::Taken),
            // Nothing more of it can be used.
            Some(Err(Broken)) => self.client.leave.notify_one(),
            Some(Ok(_)) if self.body.is_end_stream() => self.client.enter(Phase::Taken),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// The client has gone, or cannot be told anything more.
#[derive(Debug)]
struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is of no more use")
    }
}

impl std::error::Error for Gone {}

/// What an answer consists of below its head.
#[derive(Default)]
struct Content {
    first: Bytes,
    rest: Option<Source>,
    room: Room,
}

type Written = Response<Content>;

fn plain(status: StatusCode) -> Written {
    let mut response = Response::new(Content::default());
    *response.status_mut() = status;
    response
}

fn written(reply: Reply) -> Written {
    match reply {
        Reply::Served(served) => {
            let Served { head, body, rest, room } = served;
            let mut response = Response::new(Content { first: body, rest, room });
            *response.headers_mut() = passed_on(&head);
            response
        }
        Reply::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            let seconds = retry_after.map(|t| format!("{:.3}", t.as_secs_f64()));
            if let Some(Ok(seconds)) = seconds.map(HeaderValue::try_from) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        Reply::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// An answer's body. When it is done with, its connection rests again.
struct Answer<P: Platform> {
    body: Full<Bytes>,
    rest: Option<Source>,
    client: Rc<Client<P>>,
    _room: Room,
}

impl<P: Platform> Drop for Answer<P> {
    fn drop(&mut self) {
        self.client.complete.set(true);
    }
}

impl<P: Platform> Body for Answer<P> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if !self.body.is_end_stream() {
            let frame = Pin::new(&mut self.body).poll_frame(cx);
            return frame.map_err(|never| match never {});
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = rest.as_mut().poll_frame(cx);
        // What the server takes its time for is not the client's fault.
        let (excused, waiting) = self.client.excused.get();
        let waiting = waiting.unwrap_or_else(P::now);
        self.client.excused.set(match frame {
            Poll::Pending => (excused, Some(waiting)),
            Poll::Ready(_) => {
                self.client.since.set(P::now());
                (excused + P::since(waiting), None)
            }
        });
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && self.rest.as_ref().is_none_or(|rest| rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let Some(rest) = &self.rest else { return self.body.size_hint() };
        let (first, rest) = (self.body.size_hint().lower(), rest.size_hint());
        rest.exact().map(|n| SizeHint::with_exact(first + n)).unwrap_or_default()
    }
}
