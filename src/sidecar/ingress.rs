//! Clients: their connections and requests. A request is taken when it is whole, and gets one
//! answer; those of one connection follow one another in order.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use super::budget::{self, Account, LONGEST_BODY, Place, Sockets};
use super::config::{Names, stable_hash};
use super::driver::{Asked, Driver, LongReply, Reply};
use super::stream::{self, Observer, Stream};
use super::upstream::Spec;
use crate::api::Micros;
use crate::settings::Repeat;

/// The most that hyper reads ahead, and so the longest head.
const READ_AHEAD: usize = 64 << 10;
/// Bodies are kept in pieces of this size.
const PIECE: usize = 64 << 10;
/// A client that is within a message and sends nothing for so long is let go.
const READ_STALL: Duration = Duration::from_secs(6);
/// A client that reads nothing of its answer for so long is let go.
const WRITE_STALL: Duration = Duration::from_secs(20);
/// In a crowd, who takes longer than this for a request's first bytes goes first: clients may
/// take 2 s for a head.
const SLOWEST_HEAD: Duration = Duration::from_millis(2500);
/// Between two looks at where a connection's client is.
const LOOK: Duration = Duration::from_secs(1);
/// How long an ended connection is read on, so that what the client still sends does not take
/// its answer away.
const LINGER: Duration = Duration::from_secs(2);
/// A pause before accepting again when the system has no descriptor left.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);

/// Where a connection's client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of a request has come.
    Resting,
    /// Part of a request has come.
    Partial,
    /// A request is whole, and its answer is awaited.
    Taken,
    /// The answer is made; some of it may be unwritten.
    Answered,
}

/// One client's connection, as it is seen from outside.
struct Client {
    phase: Cell<Phase>,
    /// hyper has all of the last answer; what is flushed next is its end.
    complete: Cell<bool>,
    /// It is this side that holds a request up, for want of memory.
    held_up: Cell<bool>,
    /// When the phase began, and when bytes last moved.
    since: Cell<Instant>,
    moved: Cell<Instant>,
    leave: Notify,
}

impl Client {
    fn new() -> Client {
        let now = Instant::now();
        Client {
            phase: Cell::new(Phase::Resting),
            complete: Cell::new(false),
            held_up: Cell::new(false),
            since: Cell::new(now),
            moved: Cell::new(now),
            leave: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Whether a request of its own is under way.
    fn busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Taken | Phase::Answered)
    }

    /// In a crowd, who is to go first: the lower, the sooner. None: not to go at all.
    fn rank(&self) -> Option<(u8, Instant)> {
        match self.phase.get() {
            Phase::Taken | Phase::Answered => None,
            Phase::Partial if self.since.get().elapsed() > SLOWEST_HEAD => {
                Some((0, self.moved.get()))
            }
            Phase::Resting => Some((1, self.moved.get())),
            Phase::Partial => Some((2, self.since.get())),
        }
    }

    fn stalled(&self) -> bool {
        let still = self.moved.get().elapsed();
        match self.phase.get() {
            Phase::Resting | Phase::Taken => false,
            Phase::Partial => still > READ_STALL && !self.held_up.get(),
            Phase::Answered => still > WRITE_STALL,
        }
    }
}

impl Observer for Client {
    fn on_read(&self, n: usize) {
        self.moved.set(Instant::now());
        if n > 0 && self.phase.get() == Phase::Resting {
            self.enter(Phase::Partial);
        }
    }

    fn on_write(&self, _bytes: &[u8]) {
        self.moved.set(Instant::now());
    }

    fn on_flush(&self) {
        if self.complete.replace(false) && self.phase.get() == Phase::Answered {
            self.enter(Phase::Resting);
        }
    }
}

/// The side of the sidecar that clients see.
pub struct Ingress {
    driver: Rc<Driver>,
    names: Rc<Names>,
    sockets: Rc<Sockets>,
    bytes: Rc<budget::Bytes>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    accepted: Cell<(u64, Instant)>,
    draining: Cell<bool>,
    tried: Cell<bool>,
}

impl Ingress {
    /// An ingress without clients.
    pub fn new(
        driver: Rc<Driver>,
        names: Rc<Names>,
        sockets: Rc<Sockets>,
        bytes: Rc<budget::Bytes>,
    ) -> Rc<Ingress> {
        Rc::new(Ingress {
            driver,
            names,
            sockets,
            bytes,
            clients: RefCell::default(),
            accepted: Cell::new((0, Instant::now())),
            draining: Cell::new(false),
            tried: Cell::new(false),
        })
    }

    /// Discovery has answered, or failed to: what is known of servers is as new as can be.
    pub fn discovery_tried(&self) {
        self.tried.set(true);
    }

    /// From now on each answer is the last on its connection.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// When the last connection came.
    pub fn last_accepted(&self) -> Instant {
        self.accepted.get().1
    }

    /// How many requests are under way.
    pub fn busy(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.busy()).count()
    }

    /// Closes the connections on which no request is under way; `partial`: those too on which
    /// one has begun to come.
    pub fn close_idle(&self, partial: bool) {
        for client in self.clients.borrow().values() {
            let phase = client.phase.get();
            if phase == Phase::Resting || (partial && phase == Phase::Partial) {
                client.leave.notify_one();
            }
        }
    }

    /// Accepts clients for as long as it is polled.
    pub async fn accept(self: Rc<Ingress>, listener: TcpListener) {
        loop {
            let place = self.place().await;
            match listener.accept().await {
                Ok((socket, _)) => {
                    let n = self.accepted.get().0 + 1;
                    self.accepted.set((n, Instant::now()));
                    tokio::task::spawn_local(self.clone().client(n, socket, place));
                }
                Err(e) => {
                    // Danger: an accept that fails for want of descriptors (or because the client
                    // is gone again) must not end accepting.
                    tracing::warn!("accept: {e}");
                    self.evict();
                    sleep(NO_DESCRIPTOR).await;
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
            if let Ok(Ok(place)) = timeout(NO_DESCRIPTOR, free.acquire_owned()).await {
                return place;
            }
        }
    }

    fn evict(&self) {
        let clients = self.clients.borrow();
        let first = clients.values().filter_map(|c| Some((c.rank()?, c))).min_by_key(|c| c.0);
        if let Some((_, client)) = first {
            client.leave.notify_one();
        }
    }

    async fn client(self: Rc<Ingress>, n: u64, socket: TcpStream, place: Place) {
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        let client = Rc::new(Client::new());
        self.clients.borrow_mut().insert(n, client.clone());
        let io = TokioIo::new(Stream::new(socket.clone(), client.clone()));
        let mut connection = Box::pin(
            http1::Builder::new()
                .max_buf_size(READ_AHEAD)
                .header_read_timeout(None)
                .serve_connection(
                    io,
                    service_fn(|request| self.clone().serve(client.clone(), request)),
                ),
        );
        let answered = tokio::select! {
            ended = connection.as_mut() => ended.map_or_else(|e| e.is_parse(), |()| true),
            () = client.leave.notified() => false,
            () = stalled(&client) => false,
        };
        drop(connection);
        if answered {
            linger(&socket).await;
        } else if client.busy() {
            // Danger: to a client that is told neither length nor chunks, an ordinary close
            // would look like the end of the whole answer.
            let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
        self.clients.borrow_mut().remove(&n);
        drop(socket);
        drop(place);
    }

    async fn serve(
        self: Rc<Ingress>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<Answer>, Gone> {
        // With pipelining, the next request is read before the last answer is out.
        client.complete.set(false);
        if client.phase.get() != Phase::Partial {
            client.enter(Phase::Partial);
        }
        let mut response = match self.reply(&client, request).await? {
            Ok(reply) => written(reply),
            Err(status) => plain(status),
        };
        if self.draining.get() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        client.enter(Phase::Answered);
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, Answer { body, client }))
    }

    /// The answer to one request, or the status that tells what is wrong with it.
    async fn reply(
        &self,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Result<Reply, StatusCode>, Gone> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/health/ready" {
            let ready = self.tried.get() && self.driver.listed();
            return Ok(Err(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }));
        }
        let asked = match self.asked(&head) {
            Ok(asked) => asked,
            Err(status) => return Ok(Err(status)),
        };
        let mut account = self.bytes.account();
        let body = match read(client, body, &mut account).await? {
            Some(body) => body,
            None => return Ok(Err(StatusCode::PAYLOAD_TOO_LARGE)),
        };
        client.enter(Phase::Taken);
        let target = head.uri.path_and_query().cloned().map(hyper::Uri::from);
        let headers = passed_on(&head.headers);
        let target = target.unwrap_or_default();
        let spec = Spec { method: head.method, target, headers, body, account };
        let mut ticket = self.driver.request(asked, spec);
        Ok(Ok(ticket.reply().await))
    }

    /// What a request's head asks for; refused are heads that say too little or the wrong thing.
    fn asked(&self, head: &hyper::http::request::Parts) -> Result<Asked, StatusCode> {
        let text = |name: &str| head.headers.get(name).map(|v| v.to_str().map(str::trim));
        let text = |name: &str| text(name).transpose().map_err(|_| StatusCode::BAD_REQUEST);
        let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.names.classes.get(class).ok_or(StatusCode::NOT_FOUND)?;
        let keyed = text("idempotency-key")?.is_some();
        match (class.repeat, &head.method) {
            (Repeat::Safe, &Method::GET) | (Repeat::Keyed | Repeat::Unsafe, &Method::POST) => {}
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        }
        if class.repeat != Repeat::Safe && keyed != (class.repeat == Repeat::Keyed) {
            return Err(StatusCode::BAD_REQUEST);
        }
        text("x-correlation-id")?.filter(|id| !id.is_empty()).ok_or(StatusCode::BAD_REQUEST)?;
        let tenant = match text("x-account")? {
            _ if self.names.tenants.is_empty() => 0,
            name => *name
                .and_then(|name| self.names.tenants.get(name))
                .ok_or(StatusCode::BAD_REQUEST)?,
        };
        let left = text("x-time-left-ms")?.and_then(|v| v.parse::<u32>().ok());
        let left = left.ok_or(StatusCode::BAD_REQUEST)?;
        Ok(Asked {
            class: class.index,
            tenant,
            key: head.headers.get_all(header::COOKIE).iter().find_map(key).unwrap_or(0),
            left: Duration::from_millis(left.into()),
            hint: text("x-weight-hint")?.and_then(|v| v.parse::<Micros>().ok()),
            repeat: text("x-repeat")? == Some("1"),
        })
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

/// Reads a body whole. None: it is too long.
async fn read(
    client: &Client,
    mut body: Incoming,
    account: &mut Account,
) -> Result<Option<Vec<Bytes>>, Gone> {
    let mut pieces = Vec::new();
    let mut piece = BytesMut::new();
    let mut left = LONGEST_BODY;
    if body.is_end_stream() {
        return Ok(Some(pieces));
    }
    room(client, account).await;
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.map_err(|_| Gone)?.into_data() else { continue };
        let Some(rest) = left.checked_sub(data.len()) else { return Ok(None) };
        left = rest;
        while !data.is_empty() {
            // Danger: bodies that come byte by byte would cost many times their size if each
            // byte were kept as it came.
            let n = data.len().min(PIECE - piece.len());
            piece.extend_from_slice(&data.split_to(n));
            if piece.len() == PIECE {
                pieces.push(std::mem::take(&mut piece).freeze());
                room(client, account).await;
            }
        }
    }
    if !piece.is_empty() {
        pieces.push(piece.freeze());
    }
    Ok(Some(pieces))
}

/// Takes room for one more piece. Danger: asked for only when bytes are here, the budget would be
/// overdrawn by all who send at once. What is not yet read waits in the client.
async fn room(client: &Client, account: &mut Account) {
    client.held_up.set(true);
    account.grow(PIECE).await;
    client.held_up.set(false);
    client.moved.set(Instant::now());
}

async fn stalled(client: &Client) {
    while !client.stalled() {
        sleep(LOOK).await;
    }
}

/// Danger: closing a socket on which unread bytes wait (the next request, the rest of one that
/// was answered early) resets the connection, and the reset takes away what the client has not
/// read of its answer. The sending side is ended first, and what comes is read for a while.
async fn linger(socket: &TcpStream) {
    stream::finish_writing(socket);
    let drained = async {
        let mut buf = [0; 4096];
        loop {
            match socket.try_read(&mut buf) {
                Ok(0) => return,
                Ok(_) => tokio::task::yield_now().await,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if socket.readable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, drained).await;
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

fn plain(status: StatusCode) -> Response<Either<Full<Bytes>, Pieces>> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

fn written(reply: Reply) -> Response<Either<Full<Bytes>, Pieces>> {
    match reply {
        Reply::Served(head, body) => {
            let mut response = Response::new(Either::Left(Full::new(body)));
            *response.headers_mut() = passed_on(&head);
            response
        }
        Reply::Long(LongReply { head, length, pieces }) => {
            let mut response = Response::new(Either::Right(Pieces { pieces, left: length }));
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

/// A long answer's body.
struct Pieces {
    pieces: mpsc::Receiver<Option<Bytes>>,
    left: Option<u64>,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Gone;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Gone>>> {
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Some(piece)) => {
                self.left = self.left.map(|l| l.saturating_sub(piece.len() as u64));
                Some(Ok(Frame::data(piece)))
            }
            Some(None) => None,
            // It broke off.
            None => Some(Err(Gone)),
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// An answer's body. When it is done with, its connection rests again.
struct Answer {
    body: Either<Full<Bytes>, Pieces>,
    client: Rc<Client>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.client.complete.set(true);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
