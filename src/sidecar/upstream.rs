//! Connections to servers, and single attempts on them. An attempt has exactly one outcome.

use std::cell::{Cell, RefCell};
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Observer, Runtime, Stream, TaskHandle, Tcp, timeout, timeout_at};
use rustc_hash::FxHashMap;
use tokio::sync::Notify;

use super::body::{BodyError, BoxedBody, PacedBody, STREAM_RESERVATION_BYTES, STREAM_WINDOW_BYTES};
use super::budget::{BodyBudget, Reservation, SocketBudget, SocketPermit};
use super::framing::{Framing, MAX_HEAD_BYTES, MessageKind};
use super::live::LiveConfig;
use super::status::Status;
use super::upload::{Upload, UploadAttempt};
use crate::api::{LoadReport, Outcome, ServerId};
use crate::settings::Repeat;

/// A connection that has rested at least this long may have been reset in silence, and is tried
/// before the whole request is on it.
const RESTED: Duration = Duration::from_millis(50);
/// A server's close right behind its answer has come after so long: it is a network's way behind.
const SETTLED: Duration = Duration::from_millis(10);
/// How long such a trial lasts: a reset comes within a round trip. So many of those that the
/// connection took to come up, within these bounds.
const TRIAL_TRIPS: u32 = 4;
const TRIAL: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(4));
/// A connection that was gone already shows it within so long.
const STALE: Duration = Duration::from_millis(50);
/// Of an answer that is to be passed on as it comes, what comes so soon behind its first bytes is waited
/// for: one that breaks off that early has failed where another server can still be asked.
const SOON: Duration = Duration::from_millis(10);
/// How long a connection may take to be ready for the next request after an answer.
const SETTLE: Duration = Duration::from_millis(50);

/// A client's request as servers get it, kept for repeats.
pub struct Spec {
    /// Whether it may be sent again once it may have run.
    pub repeat: Repeat,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: hyper::Uri,
    /// What goes on of the headers.
    pub headers: HeaderMap,
    /// The body, or as much of it as is kept.
    pub body: Bytes,
    /// The body, where it is too long to be kept.
    pub upload: Option<Rc<Upload>>,
    /// What the body takes of the budget.
    pub room: Reservation,
    /// The request has its final answer, or nobody waits for one: nothing more is sent for it.
    pub over: Cell<bool>,
}

/// While an attempt may begin, and how long it has.
#[derive(Clone, Debug)]
pub struct Span {
    /// It is sent until then or not at all: later, what it repeats may run twice.
    pub start_by: Option<Instant>,
    /// How long servers drop repeats of what it sends, if they do.
    pub window: Option<Duration>,
    /// It is waited for until then.
    pub until: Instant,
    /// Its server wants new work, for all that is known.
    pub wanted: Rc<Cell<bool>>,
}

impl Span {
    /// Whether the attempt may still begin.
    ///
    /// Danger: an attempt may wait for its connection, or for a place to have one, longer than a server that
    /// begins to drain may get anything new, or than what it repeats is remembered.
    fn may_begin(&self, now: Instant) -> bool {
        self.wanted.get() && self.start_by.is_none_or(|by| now <= by)
    }

    /// It was sent whole at that time, and is about to be sent once more.
    fn sent(&mut self, at: Instant) {
        let by = self.window.map(|window| at + window);
        self.start_by = self.start_by.into_iter().chain(by).min();
    }
}

/// The body of one attempt.
enum Replay<P> {
    /// All of it.
    Whole(Bytes),
    /// One that is passed on as it comes.
    Stream(UploadAttempt, Rc<Meter<P>>),
}

impl<P: Runtime> Body for Replay<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Replay::Whole(body) => {
                let body = std::mem::take(body);
                Poll::Ready((!body.is_empty()).then(|| Ok(Frame::data(body))))
            }
            Replay::Stream(upload, meter) => {
                let piece = ready!(upload.poll_next(cx));
                if piece.is_none() && upload.length().is_none() {
                    // Its end is about to be written: from now on it may run.
                    meter.left();
                }
                Poll::Ready(piece.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Replay::Whole(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Replay::Whole(body) => SizeHint::with_exact(body.len() as u64),
            Replay::Stream(upload, _) => {
                upload.length().map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}

/// The rest of an answer that is passed on as it comes. Its connection can be used again when it has
/// come whole; dropped before, it is closed.
struct Rest<P: Runtime> {
    body: PacedBody<P>,
    upstream: Rc<Upstream<P>>,
    server: ServerId,
    connection: Option<Connection<P>>,
}

// Nothing in it is pinned in place.
impl<P: Runtime> Unpin for Rest<P> {}

impl<P: Runtime> Body for Rest<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none()
            && let Some(connection) = self.connection.take()
        {
            self.upstream.rest(self.server, connection);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Follows a request on its way to the system, and can keep its last byte back; follows the answer
/// on its way in.
///
/// Danger: hyper tells that a connection broke, not whether the request's last byte was written
/// before. One that broke earlier never ran and may be sent again, an unsafe one too.
struct Meter<P> {
    answer: RefCell<Framing>,
    /// When bytes of the final answer last came, if any have.
    begun: Cell<Option<Instant>>,
    stirred: Notify,
    /// Something came that belongs to no answer: the connection is of no further use.
    surplus: Cell<bool>,
    /// Bytes of the head's end (CR LF CR LF) that have just passed.
    head_end: Cell<usize>,
    in_head: Cell<bool>,
    body_left: Cell<u64>,
    whole: Cell<bool>,
    held: Cell<bool>,
    waker: Cell<Option<Waker>>,
    /// Requests that have left whole are counted there.
    status: Rc<Status>,
    on: PhantomData<P>,
}

impl<P: Runtime> Meter<P> {
    fn new(longest: usize, status: Rc<Status>) -> Meter<P> {
        Meter {
            status,
            answer: RefCell::new(Framing::new(MessageKind::Response, longest)),
            begun: Cell::new(None),
            stirred: Notify::new(),
            surplus: Cell::new(false),
            head_end: Cell::new(0),
            in_head: Cell::new(false),
            body_left: Cell::new(0),
            whole: Cell::new(false),
            held: Cell::new(false),
            waker: Cell::new(None),
            on: PhantomData,
        }
    }

    fn begin(&self, body: u64, hold: bool) {
        self.answer.borrow_mut().start_next();
        self.begun.set(None);
        self.head_end.set(0);
        self.in_head.set(true);
        self.body_left.set(body);
        self.whole.set(false);
        self.held.set(hold);
    }

    /// The request's last byte has left.
    fn left(&self) {
        if !self.whole.replace(true) {
            self.status.attempted();
        }
    }

    fn release(&self) {
        self.held.set(false);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Where in `bytes`, the next to be written, the head ends: the place after its last byte, or
    /// how much of its end has passed.
    fn scan(&self, bytes: &[u8]) -> Result<usize, usize> {
        let mut seen = self.head_end.get();
        for (i, &b) in bytes.iter().enumerate() {
            seen = match (b, seen) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => seen + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            if seen == 4 {
                return Ok(i + 1);
            }
        }
        Err(seen)
    }

    /// Where in `bytes` the request ends, if it does.
    fn end(&self, bytes: &[u8]) -> Option<usize> {
        let head = if self.in_head.get() { self.scan(bytes).ok()? } else { 0 };
        let left = usize::try_from(self.body_left.get()).ok()?;
        head.checked_add(left).filter(|&end| end <= bytes.len())
    }
}

impl<P: Runtime> Observer for Meter<P> {
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut answer = self.answer.borrow_mut();
        // What comes before the request's last byte has left is no answer to it.
        if !self.whole.get() || answer.is_complete() {
            self.surplus.set(self.surplus.get() || !bytes.is_empty());
        }
        if let Err(fault) = answer.feed(bytes) {
            if answer.is_complete() {
                // Behind an answer that is whole; hyper is let have that.
                self.surplus.set(true);
                return Ok(());
            }
            tracing::debug!(%fault, "unusable answer");
            return Err(io::Error::new(io::ErrorKind::InvalidData, fault));
        }
        if !answer.has_started() {
            self.begun.set(None);
        } else if self.begun.replace(Some(P::now())).is_none() {
            self.stirred.notify_one();
        }
        Ok(())
    }

    fn limits_writes(&self) -> bool {
        self.held.get()
    }

    fn poll_write_allowance(&self, bytes: &[u8], cx: &mut Context<'_>) -> Poll<usize> {
        match self.end(bytes) {
            Some(1) if self.held.get() => {
                self.waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
            Some(end) if self.held.get() && end > 1 => Poll::Ready(end - 1),
            _ => Poll::Ready(bytes.len()),
        }
    }

    fn on_write(&self, mut bytes: &[u8]) {
        if self.in_head.get() {
            match self.scan(bytes) {
                Ok(end) => {
                    self.in_head.set(false);
                    bytes = &bytes[end..];
                }
                Err(seen) => return self.head_end.set(seen),
            }
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len() as u64));
        if self.body_left.get() == 0 {
            self.left();
        }
    }
}

/// One connection. Dropping it closes it.
struct Connection<P: Runtime> {
    sender: SendRequest<Replay<P>>,
    socket: Rc<P::Tcp>,
    meter: Rc<Meter<P>>,
    task: P::TaskHandle,
    dial: SocketAddr,
    rested: Instant,
    /// How long it took to come up: a round trip.
    trip: Duration,
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer's head, as far as it matters to the client.
pub type Head = HeaderMap;

/// How an attempt ended.
pub struct Reached {
    /// The outcome.
    pub outcome: Outcome,
    /// The load report that came with it.
    pub report: LoadReport,
    /// What was served, whole.
    pub answer: Option<Served>,
}

/// A server's answer to a request.
pub struct Served {
    /// Its head.
    pub head: Head,
    /// Its body, or the first part of one that is too long to be kept.
    pub body: Bytes,
    /// What follows.
    pub rest: Option<BoxedBody>,
    /// What the body takes of the budget.
    pub room: Reservation,
}

impl Reached {
    /// An end without an answer.
    pub fn end(outcome: Outcome) -> Reached {
        Reached { outcome, report: LoadReport::default(), answer: None }
    }
}

/// All connections to servers.
pub struct Upstream<P: Runtime> {
    idle: RefCell<FxHashMap<ServerId, Vec<Connection<P>>>>,
    sockets: Rc<SocketBudget>,
    bytes: BodyBudget,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
}

impl<P: Runtime> Upstream<P> {
    /// An upstream without connections.
    pub fn new(
        sockets: Rc<SocketBudget>,
        bytes: BodyBudget,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
    ) -> Rc<Upstream<P>> {
        let idle = RefCell::default();
        let upstream = Rc::new(Upstream { idle, sockets, bytes, live, status });
        P::spawn(upstream.clone().sweep());
        upstream
    }

    async fn sweep(self: Rc<Upstream<P>>) {
        loop {
            P::sleep(Duration::from_millis(500)).await;
            let retire = self.live.timeouts().max_reuse_idle();
            self.idle.borrow_mut().retain(|_, list| {
                list.retain(|c| P::elapsed_since(c.rested) < retire && !c.sender.is_closed());
                !list.is_empty()
            });
        }
    }

    /// Closes the connections to `server` that are at rest.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Keeps a connection for the next attempt, unless more came on it than the answer.
    ///
    /// Danger: what comes behind an answer would be taken for the answer to the next request. A
    /// connection on which an answer ended otherwise than by its announced length is let go too.
    fn rest(&self, server: ServerId, mut connection: Connection<P>) {
        let meter = &connection.meter;
        if meter.surplus.get() || !meter.answer.borrow().is_complete() {
            return;
        }
        connection.rested = P::now();
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// A connection to `server` that is fit for use, if there is one.
    ///
    /// Danger: a server may close a connection right behind an answer, and what is written before
    /// that is seen is lost as a reset. Of those that have rested long enough for the close to have
    /// come, the last used is taken; the others only if there is no such one.
    async fn reuse(&self, server: ServerId, dial: SocketAddr) -> Option<Connection<P>> {
        loop {
            let mut connection = {
                let mut idle = self.idle.borrow_mut();
                let list = idle.get_mut(&server)?;
                let settled = list.iter().rposition(|c| P::elapsed_since(c.rested) >= SETTLED);
                match settled {
                    Some(at) => list.remove(at),
                    None => list.pop()?,
                }
            };
            // Danger: a server may have closed it, or sent something unasked, since it was last
            // looked at; hyper's own task sees that only when its turn comes.
            if connection.dial != dial
                || P::elapsed_since(connection.rested) >= self.live.timeouts().max_reuse_idle()
                || connection.sender.is_closed()
                || connection.meter.surplus.get()
                || !connection.socket.is_idle()
            {
                continue;
            }
            if let Ok(Ok(())) = timeout::<P, _>(SETTLE, connection.sender.ready()).await {
                return Some(connection);
            }
        }
    }

    /// A place for one more socket. A connection at rest makes room when there is none left.
    async fn place(&self) -> Option<SocketPermit> {
        if let Ok(place) = self.sockets.servers.clone().try_acquire_owned() {
            return Some(place);
        }
        {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.iter().filter_map(|(&id, l)| Some((l.first()?.rested, id))).min();
            if let Some(list) = oldest.and_then(|(_, id)| idle.get_mut(&id)) {
                list.remove(0);
            }
        }
        self.sockets.servers.clone().acquire_owned().await.ok()
    }

    async fn connect(&self, dial: SocketAddr) -> Option<Connection<P>> {
        let place = self.place().await?;
        let began = P::now();
        let socket =
            timeout::<P, _>(self.live.timeouts().connect, P::connect(dial)).await.ok()?.ok()?;
        let trip = P::elapsed_since(began);
        socket.set_nodelay().ok()?;
        let socket = Rc::new(socket);
        let meter = Rc::new(Meter::new(self.live.max_body_bytes(), self.status.clone()));
        let io = TokioIo::new(Stream::new(socket.clone(), meter.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).allow_obsolete_multiline_headers_in_responses(true);
        let (sender, driving) = builder.handshake(io).await.ok()?;
        let task = P::spawn(async move {
            let _place = place;
            // How it ended shows in the attempt.
            let _ = driving.await;
        });
        Some(Connection { sender, socket, meter, task, dial, rested: P::now(), trip })
    }

    /// One attempt at `server`, to be dropped when it is no longer waited for.
    pub async fn attempt(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        dial: SocketAddr,
        spec: &Rc<Spec>,
        span: Span,
    ) -> Reached {
        let copied = Cell::new(false);
        let mut reached = self.exchange(server, dial, spec, span, &copied).await;
        // Danger: that a second copy never ran says nothing of the first, which was whole.
        if copied.get() && reached.outcome.never_ran() && spec.repeat != Repeat::Safe {
            reached.outcome = Outcome::Reset;
        }
        reached
    }

    /// An attempt's exchange; `copied` is set once it goes out a second time though it was whole.
    async fn exchange(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        dial: SocketAddr,
        spec: &Rc<Spec>,
        mut span: Span,
        copied: &Cell<bool>,
    ) -> Reached {
        // Danger: what is lost of a long body on a connection that was gone already cannot be sent again.
        let mut old = match spec.upload {
            None => self.reuse(server, dial).await,
            Some(_) => None,
        };
        loop {
            let reused = old.is_some();
            let connection = match old.take() {
                Some(connection) => Some(connection),
                None => self.connect(dial).await,
            };
            let Some(mut connection) = connection else {
                return Reached::end(Outcome::ConnectFailed);
            };
            // Danger: where attempts may not be called off, one that waits for its connection would go
            // out for a request that is over, and an order would run for nobody.
            if spec.over.get() || !span.may_begin(P::now()) {
                self.rest(server, connection);
                return Reached::end(Outcome::Moot);
            }
            let meter = connection.meter.clone();
            let asked = P::now();
            // Danger: an answer that has begun and does not go on would hold the request until its
            // time is up, whatever is wrong with it: a head or a body that stops, a length that is
            // too long. It has failed, and where that is harmless another server gets the request
            // in time. Harmful where servers answer in pieces that are far apart.
            let response = tokio::select! {
                biased;
                response = self.ask(&mut connection, spec, reused, span.until) => response,
                () = self.unended(&meter) => None,
            };
            // Danger: an answer that came before the request was on its way answers something else.
            match response.filter(|_| meter.whole.get() || spec.upload.is_some()) {
                // The server has enough of a long body. Its answer ends the connection.
                Some(response) if !meter.whole.get() => {
                    let full = turned_away(&response);
                    return Reached::end(if full { Outcome::Full } else { Outcome::Error });
                }
                Some(response) => {
                    return tokio::select! {
                        biased;
                        reached = self.answer(server, connection, response) => reached,
                        () = self.unended(&meter) => Reached::end(Outcome::Reset),
                    };
                }
                None if spec.over.get() && !meter.whole.get() => {
                    return Reached::end(Outcome::Moot);
                }
                // Danger: a server may close a connection just as the request is written. What may be
                // repeated goes to the same server again at once, as part of the same attempt: the
                // server has not chosen to fail it. Nothing of an answer must have come, and the
                // break must come as soon as one that was there before.
                None if reused
                    && spec.repeat != Repeat::Unsafe
                    && meter.begun.get().is_none()
                    && P::elapsed_since(asked) < STALE =>
                {
                    if meter.whole.get() {
                        copied.set(true);
                        // Danger: the connection for the second copy may take longer to come up than
                        // the first is remembered.
                        span.sent(asked);
                    }
                }
                None if meter.whole.get() => return Reached::end(Outcome::Reset),
                // Danger: a connection that has rested may be reset by the first byte written to
                // it. The server has not begun on the request, so it gets it on a new connection.
                None if reused => continue,
                None => return Reached::end(Outcome::ConnectFailed),
            }
        }
    }

    /// Waits until an answer that has begun does not go on.
    async fn unended(&self, meter: &Meter<P>) {
        loop {
            match meter.begun.get().map(|t| t + self.live.timeouts().gap) {
                None => meter.stirred.notified().await,
                Some(end) if P::now() >= end => return,
                Some(end) => P::sleep_until(end).await,
            }
        }
    }

    /// Writes the request and waits for the head of its answer; none if the connection breaks before.
    async fn ask(
        &self,
        connection: &mut Connection<P>,
        spec: &Rc<Spec>,
        reused: bool,
        until: Instant,
    ) -> Option<Response<Incoming>> {
        let left = match &spec.upload {
            None => until.saturating_duration_since(P::now()),
            // Counted from its last byte.
            Some(upload) => {
                upload.deadline().map_or(upload.left, |due| due.saturating_duration_since(P::now()))
            }
        };
        let left = left.as_millis() as u64;
        let meter = connection.meter.clone();
        let (body, length) = match &spec.upload {
            None => (Replay::Whole(spec.body.clone()), Some(spec.body.len() as u64)),
            Some(upload) => {
                (Replay::Stream(UploadAttempt::new(upload.clone()), meter.clone()), upload.length)
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = spec.method.clone();
        *request.uri_mut() = spec.target.clone();
        *request.headers_mut() = spec.headers.clone();
        let headers = request.headers_mut();
        headers.insert("x-time-left-ms", HeaderValue::from(left));
        if let Ok(host) = HeaderValue::try_from(connection.dial.to_string()) {
            headers.entry(HOST).or_insert(host);
        }
        if spec.method != Method::GET
            && let Some(length) = length
        {
            headers.insert(hyper::header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        // What may be repeated need not wait: if the connection is gone, it is sent once more.
        let may_be_gone = !(SETTLED..RESTED).contains(&P::elapsed_since(connection.rested));
        let trial = reused && may_be_gone && spec.repeat == Repeat::Unsafe;
        let lasts = (connection.trip * TRIAL_TRIPS).clamp(TRIAL.0, TRIAL.1);
        meter.begin(length.unwrap_or(u64::MAX), trial);
        let mut sending = pin!(connection.sender.send_request(request));
        if trial {
            if let Ok(result) = timeout::<P, _>(lasts, &mut sending).await {
                return result.ok();
            }
            // Danger: where attempts may not be called off, the byte that was kept back would have an order
            // run that was given up meanwhile.
            if spec.over.get() {
                return None;
            }
            meter.release();
        }
        sending.await.ok()
    }

    async fn answer(
        self: &Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        response: Response<Incoming>,
    ) -> Reached {
        let turned_away = turned_away(&response);
        let (head, mut body) = response.into_parts();
        let report = head.headers.get("x-backend-load").and_then(|v| v.to_str().ok());
        let report = report.map(|text| self.live.names().report(text)).unwrap_or_default();
        let end = |outcome| Reached { outcome, report: report.clone(), answer: None };
        if head.status != StatusCode::OK {
            P::spawn(self.clone().discard(server, connection, body));
            return end(if turned_away { Outcome::Full } else { Outcome::Error });
        }
        // Danger: without a length, an answer that breaks off looks whole.
        if !connection.meter.answer.borrow().has_explicit_end() {
            return end(Outcome::Reset);
        }
        let length = body.size_hint().exact().filter(|&n| n <= STREAM_WINDOW_BYTES as u64);
        let room = length.map_or(STREAM_RESERVATION_BYTES, |n| n as usize);
        let Some(room) = self.bytes.try_reserve(room) else {
            tracing::warn!(bytes = room, "no memory left for an answer");
            return end(Outcome::Reset);
        };
        let mut first = BytesMut::with_capacity(length.unwrap_or_default() as usize);
        // Of a long answer the first bytes are waited for, and some more if they come soon.
        let long = body.size_hint().exact().is_some_and(|n| n > STREAM_WINDOW_BYTES as u64);
        let mut soon = None;
        let whole = loop {
            if length.is_none() && first.len() >= STREAM_WINDOW_BYTES {
                break false;
            }
            let frame = match soon {
                None => body.frame().await,
                Some(soon) => match timeout_at::<P, _>(soon, body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => break false,
                },
            };
            if long {
                soon = soon.or_else(|| Some(P::now() + SOON));
            }
            match frame.transpose() {
                Ok(None) => break true,
                Ok(Some(frame)) => {
                    frame.into_data().iter().for_each(|d| first.extend_from_slice(d))
                }
                Err(_) => return end(Outcome::Reset),
            }
        };
        let rest = if whole {
            self.rest(server, connection);
            None
        } else {
            let body = PacedBody::from_server(
                body,
                self.live.max_body_bytes().saturating_sub(first.len()) as u64,
            );
            let connection = Some(connection);
            let rest: BoxedBody =
                Box::pin(Rest { body, upstream: self.clone(), server, connection });
            Some(rest)
        };
        let body = first.freeze();
        let served = Served { head: head.headers, body, rest, room: Some(room) };
        Reached { outcome: Outcome::Served, report, answer: Some(served) }
    }

    /// Reads what is left of a short answer, so that its connection can be used again.
    async fn discard(
        self: Rc<Upstream<P>>,
        server: ServerId,
        connection: Connection<P>,
        body: Incoming,
    ) {
        let limited = Limited::new(body, STREAM_WINDOW_BYTES);
        if let Ok(Ok(_)) = timeout::<P, _>(self.live.timeouts().gap, limited.collect()).await {
            self.rest(server, connection);
        }
    }

    /// Asks a server how it is, on a connection of its own.
    pub async fn probe(&self, dial: SocketAddr, with_report: bool) -> (Outcome, LoadReport) {
        let none = LoadReport::default();
        let asked = async {
            let Some(mut connection) = self.connect(dial).await else {
                return (Outcome::ConnectFailed, none.clone());
            };
            let path = if with_report { "/stats" } else { "/health/live" };
            let spec = Spec {
                repeat: Repeat::Safe,
                method: Method::GET,
                target: hyper::Uri::from_static(path),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                upload: None,
                room: None,
                over: Cell::default(),
            };
            let until = P::now() + self.live.timeouts().connect;
            let answer = self.ask(&mut connection, &Rc::new(spec), false, until).await;
            let Some((head, body)) = answer.map(Response::into_parts) else {
                return (Outcome::Reset, none.clone());
            };
            let Ok(body) = Limited::new(body, STREAM_WINDOW_BYTES).collect().await else {
                return (Outcome::Reset, none.clone());
            };
            let outcome =
                if head.status == StatusCode::OK { Outcome::Served } else { Outcome::Error };
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            (outcome, self.live.names().report(&text))
        };
        let patience = self.live.timeouts().connect + Duration::from_secs(1);
        timeout::<P, _>(patience, asked).await.unwrap_or((Outcome::TimedOut, LoadReport::default()))
    }
}

/// Whether a server has turned a request away unseen.
fn turned_away<B>(response: &Response<B>) -> bool {
    matches!(response.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && response.headers().get("x-unprocessed").is_some_and(|v| v == "1")
}
