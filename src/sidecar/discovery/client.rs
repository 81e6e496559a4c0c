//! Single calls to the discovery service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::list_buffer::{BufferError, ListBuffer, ListMemory};
use super::progress::Progress;
use crate::sidecar::discovery_status::CallEnd;
use crate::sidecar::system_error::is_shortage;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Elapsed, Runtime, Stream, TaskHandle, Tcp, timeout, timeout_at};

/// How long a connection to discovery may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest time between two pieces of a response.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest time from the head of a response to its end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallError {
    /// It was refused, reset, or answered with something that is not a list.
    #[error("the call was refused or reset, or its response is not a list")]
    Broken,
    /// Nothing arrived in time, or no more.
    #[error("the response did not arrive in time")]
    TimedOut,
    /// The list has at least so many bytes, which is more than may be read.
    #[error("the list has at least {0} bytes, more than may be read")]
    TooLong(u64),
    /// There was no file descriptor or memory for its connection.
    #[error("no file descriptor or memory for the connection")]
    Shortage,
    /// The responses of other calls take the memory for lists.
    #[error("the responses of other calls take the memory for lists")]
    NoMemory,
}

impl From<BufferError> for CallError {
    fn from(error: BufferError) -> CallError {
        match error {
            BufferError::TooLong(bytes) => CallError::TooLong(bytes as u64),
            BufferError::NoMemory => CallError::NoMemory,
        }
    }
}

/// A complete response.
pub(super) struct ListResponse<P: Runtime> {
    /// The list as JSON.
    pub(super) text: ListBuffer,
    /// The connection, for the next call.
    pub(super) connection: Connection<P>,
    /// When the call began.
    pub(super) started: Instant,
}

/// How long the parts of a response may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// From the request to the head.
    head: Duration,
    /// Between two pieces of the body.
    read: Duration,
}

impl From<CallError> for CallEnd {
    fn from(error: CallError) -> CallEnd {
        match error {
            CallError::Broken | CallError::Shortage => CallEnd::Broken,
            CallError::TimedOut => CallEnd::TimedOut,
            CallError::TooLong(_) => CallEnd::TooLong,
            CallError::NoMemory => CallEnd::NoMemory,
        }
    }
}

impl Timeouts {
    /// For a request that the service may hold for `hold`, and has to answer within `patience` then.
    pub(super) fn new(hold: Duration, patience: Duration) -> Timeouts {
        Timeouts { head: hold + patience, read: READ_TIMEOUT.max(patience) }
    }
}

/// What a response may take.
#[derive(Clone, Debug)]
pub(super) struct ResponseLimits {
    pub(super) timeouts: Timeouts,
    /// The longest body.
    pub(super) max_bytes: usize,
    /// Shared with other calls.
    pub(super) memory: ListMemory,
}

/// A connection to discovery. Dropping it closes it.
pub(super) struct Connection<P: Runtime> {
    /// How many calls were made on it.
    calls: u32,
    sender: SendRequest<Empty<Bytes>>,
    driver: P::TaskHandle,
}

impl<P: Runtime> Connection<P> {
    async fn open(address: SocketAddr) -> Result<Connection<P>, CallError> {
        let socket = timeout::<P, _>(CONNECT_TIMEOUT, P::connect(address)).await;
        let socket = socket.map_err(|Elapsed| CallError::TimedOut)?;
        let socket = socket.map_err(|error| match is_shortage(&error) {
            true => CallError::Shortage,
            false => CallError::Broken,
        })?;
        socket.set_nodelay().map_err(|_| CallError::Broken)?;
        let io = TokioIo::new(Stream::new(Rc::new(socket), Rc::new(())));
        let (sender, connection) = http1::handshake(io).await.map_err(|_| CallError::Broken)?;
        let driver = P::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { calls: 0, sender, driver })
    }

    /// Whether the last response may be a copy of an earlier one: a call was made before.
    pub(super) fn is_used(&self) -> bool {
        self.calls > 1
    }

    /// Whether it can take no further call.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    async fn get(
        &mut self,
        address: SocketAddr,
        path: String,
    ) -> Option<hyper::Response<Incoming>> {
        self.sender.ready().await.ok()?;
        self.calls = self.calls.saturating_add(1);
        let request =
            Request::get(path).header(HOST, address.to_string()).body(Empty::new()).ok()?;
        self.sender.send_request(request).await.ok()
    }
}

impl<P: Runtime> Drop for Connection<P> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Gets `path`, on `connection` or else on a new one to `address`.
pub(super) async fn fetch<P: Runtime>(
    connection: Option<Connection<P>>,
    address: SocketAddr,
    path: String,
    limits: ResponseLimits,
    progress: Progress,
) -> Result<ListResponse<P>, CallError> {
    let started = P::now();
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let response = timeout::<P, _>(limits.timeouts.head, connection.get(address, path)).await;
    let response = response.map_err(|Elapsed| CallError::TimedOut)?.ok_or(CallError::Broken)?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Broken);
    }
    progress.record(P::now());
    let text = read_body::<P>(response.into_body(), &limits, &progress).await?;
    Ok(ListResponse { text, connection, started })
}

/// Reads a body.
///
/// A response may stop half way and stay open, or arrive a byte at a time for ever. While it makes
/// progress it is read on, but not for longer than a sound one can take.
async fn read_body<P: Runtime>(
    mut body: Incoming,
    limits: &ResponseLimits,
    progress: &Progress,
) -> Result<ListBuffer, CallError> {
    let mut buffer = limits.memory.buffer(limits.max_bytes);
    if let Some(length) = body.size_hint().exact() {
        if length > limits.max_bytes as u64 {
            return Err(CallError::TooLong(length));
        }
        buffer.reserve(length as usize);
    }
    let deadline = P::now() + RESPONSE_TIMEOUT;
    loop {
        let read_deadline = (P::now() + limits.timeouts.read).min(deadline);
        let frame = timeout_at::<P, _>(read_deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|Elapsed| CallError::TimedOut)? else {
            return Ok(buffer);
        };
        if let Ok(data) = frame.map_err(|_| CallError::Broken)?.into_data() {
            buffer.append(&data)?;
            progress.record(P::now());
        }
    }
}
