//! Connections to servers, and single attempts on them. An attempt has exactly one outcome.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::budget::{Account, Place, Sockets};
use super::config::Names;
use super::stream::{self, Observer, Stream};
use crate::api::{LoadReport, Outcome, ServerId};

/// Answers up to this size are read whole before their outcome is told.
pub const WHOLE: usize = 64 << 10;
/// The most that hyper reads ahead, and so the longest head.
const READ_AHEAD: usize = 64 << 10;
/// A connection that has rested at least this long is tried before the whole request is on it.
const RESTED: Duration = Duration::from_millis(50);
/// How long such a trial lasts: a reset comes within a round trip.
const TRIAL: Duration = Duration::from_millis(4);
/// How long a connection may take to be ready for the next request after an answer.
const SETTLE: Duration = Duration::from_millis(50);
/// How long the rest of an answer that nobody wants may take before its connection is closed.
const DISCARD: Duration = Duration::from_millis(500);

/// A client's request as servers get it, kept for repeats.
pub struct Spec {
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: hyper::Uri,
    /// What goes on of the headers.
    pub headers: HeaderMap,
    /// The body in pieces.
    pub body: Vec<Bytes>,
    /// What the body takes of the budget.
    pub account: Account,
}

impl Spec {
    fn len(&self) -> u64 {
        self.body.iter().map(|b| b.len() as u64).sum()
    }
}

/// The body of one attempt.
struct Replay {
    spec: Rc<Spec>,
    next: usize,
}

impl Body for Replay {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.spec.body.get(self.next).cloned();
        self.next += 1;
        Poll::Ready(piece.map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= self.spec.body.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.spec.body.iter().skip(self.next).map(|b| b.len() as u64).sum())
    }
}

/// Follows a request on its way to the system, and can keep its last byte back.
///
/// Danger: hyper tells that a connection broke, not whether the request's last byte was written
/// before. One that broke earlier never ran and may be sent again, an unsafe one too.
#[derive(Default)]
struct Meter {
    /// Bytes of the head's end (CR LF CR LF) that have just passed.
    head_end: Cell<usize>,
    in_head: Cell<bool>,
    body_left: Cell<u64>,
    whole: Cell<bool>,
    held: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl Meter {
    fn begin(&self, body: u64, hold: bool) {
        self.head_end.set(0);
        self.in_head.set(true);
        self.body_left.set(body);
        self.whole.set(false);
        self.held.set(hold);
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

impl Observer for Meter {
    fn holds(&self) -> bool {
        self.held.get()
    }

    fn allow(&self, bytes: &[u8], cx: &mut Context<'_>) -> Poll<usize> {
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
        self.whole.set(self.body_left.get() == 0);
    }
}

/// One connection. Dropping it closes it.
struct Connection {
    sender: SendRequest<Replay>,
    socket: Rc<TcpStream>,
    meter: Rc<Meter>,
    task: AbortHandle,
    dial: SocketAddr,
    rested: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer's head, as far as it matters to the client.
pub type Head = HeaderMap;

/// How far an attempt has come.
pub enum Reached {
    /// It is over. An answer served is whole.
    End {
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: LoadReport,
        /// What was served.
        answer: Option<(Head, Bytes)>,
    },
    /// A long answer has begun.
    Long(Box<Long>),
}

impl Reached {
    fn end(outcome: Outcome, report: LoadReport) -> Reached {
        Reached::End { outcome, report, answer: None }
    }
}

/// A long answer under way.
pub struct Long {
    /// Its head.
    pub head: Head,
    /// Its length, if it was announced.
    pub length: Option<u64>,
    /// The load report in its head.
    pub report: LoadReport,
    first: Option<Bytes>,
    body: Incoming,
    connection: Option<(ServerId, Connection)>,
    upstream: Rc<Upstream>,
}

impl Long {
    /// The next piece; None at the end of the whole answer.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Some(Ok(data)),
                    Err(_trailers) => continue,
                },
                Some(Err(e)) => return Some(Err(e)),
                None => {
                    if let Some((server, connection)) = self.connection.take() {
                        self.upstream.rest(server, connection);
                    }
                    return None;
                }
            }
        }
    }
}

/// All connections to servers.
pub struct Upstream {
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
    sockets: Rc<Sockets>,
    names: Rc<Names>,
    connect_timeout: Duration,
    retire: Duration,
}

impl Upstream {
    /// `conn_idle` is how long servers say that they keep a connection at rest.
    pub fn new(
        sockets: Rc<Sockets>,
        names: Rc<Names>,
        connect_timeout: Duration,
        conn_idle: Duration,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            idle: RefCell::default(),
            sockets,
            names,
            connect_timeout,
            // Danger: what is written just as the server closes is lost as a reset. Connections are
            // retired well before.
            retire: conn_idle.mul_f64(0.7),
        });
        tokio::task::spawn_local(upstream.clone().sweep());
        upstream
    }

    async fn sweep(self: Rc<Upstream>) {
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            self.idle.borrow_mut().retain(|_, list| {
                list.retain(|c| c.rested.elapsed() < self.retire && !c.sender.is_closed());
                !list.is_empty()
            });
        }
    }

    /// Closes the connections to `server` that are at rest.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Keeps a connection for the next attempt.
    fn rest(&self, server: ServerId, mut connection: Connection) {
        connection.rested = Instant::now();
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// The connection to `server` that has rested the shortest, if one is fit for use.
    async fn reuse(&self, server: ServerId, dial: SocketAddr) -> Option<Connection> {
        loop {
            let mut connection = self.idle.borrow_mut().get_mut(&server)?.pop()?;
            // Danger: a server may have closed it, or sent something unasked, since it was last
            // looked at; hyper's own task sees that only when its turn comes.
            if connection.dial != dial
                || connection.rested.elapsed() >= self.retire
                || connection.sender.is_closed()
                || !stream::at_rest(&connection.socket)
            {
                continue;
            }
            if let Ok(Ok(())) = timeout(SETTLE, connection.sender.ready()).await {
                return Some(connection);
            }
        }
    }

    /// A place for one more socket. A connection at rest makes room when there is none left.
    async fn place(&self) -> Option<Place> {
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

    async fn connect(&self, dial: SocketAddr) -> Option<Connection> {
        let place = self.place().await?;
        let socket = timeout(self.connect_timeout, TcpStream::connect(dial)).await.ok()?.ok()?;
        socket.set_nodelay(true).ok()?;
        let socket = Rc::new(socket);
        let meter = Rc::new(Meter::default());
        let io = TokioIo::new(Stream::new(socket.clone(), meter.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_AHEAD).allow_obsolete_multiline_headers_in_responses(true);
        let (sender, driving) = builder.handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            let _place = place;
            // How it ended shows in the attempt.
            let _ = driving.await;
        });
        let task = task.abort_handle();
        Some(Connection { sender, socket, meter, task, dial, rested: Instant::now() })
    }

    /// One attempt at `server`, to be dropped when it is no longer waited for.
    pub async fn attempt(
        self: &Rc<Upstream>,
        server: ServerId,
        dial: SocketAddr,
        spec: &Rc<Spec>,
        until: Instant,
    ) -> Reached {
        let mut old = self.reuse(server, dial).await;
        loop {
            let reused = old.is_some();
            let connection = match old.take() {
                Some(connection) => Some(connection),
                None => self.connect(dial).await,
            };
            let Some(mut connection) = connection else {
                return Reached::end(Outcome::ConnectFailed, LoadReport::default());
            };
            match self.ask(&mut connection, spec, reused, until).await {
                Ok(response) => return self.answer(server, connection, response).await,
                Err(_) if connection.meter.whole.get() => {
                    return Reached::end(Outcome::Reset, LoadReport::default());
                }
                // Danger: a connection that has rested may be reset by the first byte written to
                // it. The server has not begun on the request, so it gets it on a new connection.
                Err(_) if reused => continue,
                Err(_) => return Reached::end(Outcome::ConnectFailed, LoadReport::default()),
            }
        }
    }

    /// Writes the request and waits for the head of its answer.
    async fn ask(
        &self,
        connection: &mut Connection,
        spec: &Rc<Spec>,
        reused: bool,
        until: Instant,
    ) -> hyper::Result<Response<Incoming>> {
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut request = Request::new(Replay { spec: spec.clone(), next: 0 });
        *request.method_mut() = spec.method.clone();
        *request.uri_mut() = spec.target.clone();
        *request.headers_mut() = spec.headers.clone();
        let headers = request.headers_mut();
        headers.insert("x-time-left-ms", HeaderValue::from(left));
        if let Ok(host) = HeaderValue::try_from(connection.dial.to_string()) {
            headers.entry(HOST).or_insert(host);
        }
        if spec.method != Method::GET {
            headers.insert(hyper::header::CONTENT_LENGTH, HeaderValue::from(spec.len()));
        }
        let trial = reused && connection.rested.elapsed() >= RESTED;
        let meter = connection.meter.clone();
        meter.begin(spec.len(), trial);
        let mut sending = pin!(connection.sender.send_request(request));
        if trial {
            if let Ok(result) = timeout(TRIAL, &mut sending).await {
                return result;
            }
            meter.release();
        }
        sending.await
    }

    async fn answer(
        self: &Rc<Upstream>,
        server: ServerId,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Reached {
        let (head, body) = response.into_parts();
        let report = head.headers.get("x-backend-load").and_then(|v| v.to_str().ok());
        let report = report.map(|text| self.names.report(text)).unwrap_or_default();
        let turned_away =
            matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
                && head.headers.get("x-unprocessed").is_some_and(|v| v == "1");
        if head.status != StatusCode::OK {
            tokio::task::spawn_local(self.clone().discard(server, connection, body));
            return Reached::end(if turned_away { Outcome::Full } else { Outcome::Error }, report);
        }
        let length = body.size_hint().exact();
        let mut long = Long {
            head: head.headers,
            length,
            report,
            first: None,
            body,
            connection: Some((server, connection)),
            upstream: self.clone(),
        };
        let mut whole = Vec::new();
        loop {
            match long.next().await {
                Some(Ok(piece)) => whole.extend_from_slice(&piece),
                Some(Err(_)) => return Reached::end(Outcome::Reset, long.report),
                None => {
                    let answer = Some((long.head, whole.into()));
                    return Reached::End { outcome: Outcome::Served, report: long.report, answer };
                }
            }
            if whole.len() > WHOLE || length.is_some_and(|l| l > WHOLE as u64) {
                long.first = Some(whole.into());
                return Reached::Long(Box::new(long));
            }
        }
    }

    /// Reads what is left of a short answer, so that its connection can be used again.
    async fn discard(self: Rc<Upstream>, server: ServerId, connection: Connection, body: Incoming) {
        let limited = http_body_util::Limited::new(body, WHOLE);
        if let Ok(Ok(_)) = timeout(DISCARD, limited.collect()).await {
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
            let spec = Spec {
                method: Method::GET,
                target: hyper::Uri::from_static(if with_report {
                    "/stats"
                } else {
                    "/health/live"
                }),
                headers: HeaderMap::new(),
                body: Vec::new(),
                account: Account::default(),
            };
            let until = Instant::now() + self.connect_timeout;
            let answer = self.ask(&mut connection, &Rc::new(spec), false, until).await;
            let Ok((head, body)) = answer.map(Response::into_parts) else {
                return (Outcome::Reset, none.clone());
            };
            let Ok(body) = http_body_util::Limited::new(body, WHOLE).collect().await else {
                return (Outcome::Reset, none.clone());
            };
            let outcome =
                if head.status == StatusCode::OK { Outcome::Served } else { Outcome::Error };
            let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            (outcome, self.names.report(&text))
        };
        let patience = self.connect_timeout + Duration::from_secs(1);
        timeout(patience, asked).await.unwrap_or((Outcome::TimedOut, LoadReport::default()))
    }
}
