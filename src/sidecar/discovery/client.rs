//! Sends single HTTP requests to the discovery service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::list_buffer::{BufferError, ListBuffer, ListMemory};
use super::progress::Progress;
use crate::sidecar::discovery_status::CallOutcome;
use crate::sidecar::system_error::is_shortage;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Elapsed, Runtime, Stream, TaskHandle, Tcp, timeout, timeout_at};

/// Timeout for establishing a connection to the discovery service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout between two parts of a response body.
pub(super) const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout from the head of a response to its end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The reason why a call returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallError {
    /// The call was refused or reset, or its response is not a list.
    #[error("the call was refused or reset, or its response is not a list")]
    Broken,
    /// The response did not begin, or did not continue, in time.
    #[error("the response did not arrive in time")]
    TimedOut,
    /// The list has at least this many bytes, which exceeds the limit.
    #[error("the list has at least {0} bytes, which exceeds the limit")]
    TooLong(u64),
    /// No file descriptor or memory was available for the connection.
    #[error("no file descriptor or memory available for the connection")]
    Shortage,
    /// The responses of other calls use up the memory for lists.
    #[error("the responses of other calls use up the memory for lists")]
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

/// A complete response to a discovery call.
pub(super) struct ListResponse<P: Runtime> {
    /// The list as JSON.
    pub(super) text: ListBuffer,
    /// The connection, which the next call can reuse.
    pub(super) connection: Connection<P>,
    /// Time at which the call was started.
    pub(super) started: Instant,
}

/// Timeouts for the parts of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// From the request to the response head.
    head: Duration,
    /// Between two parts of the response body.
    read: Duration,
}

impl From<CallError> for CallOutcome {
    fn from(error: CallError) -> CallOutcome {
        match error {
            CallError::Broken | CallError::Shortage => CallOutcome::Broken,
            CallError::TimedOut => CallOutcome::TimedOut,
            CallError::TooLong(_) => CallOutcome::TooLong,
            CallError::NoMemory => CallOutcome::NoMemory,
        }
    }
}

impl Timeouts {
    /// Returns the timeouts of a long poll that the service may hold for `hold` and must then answer within
    /// `head_timeout`.
    pub(super) fn new(hold: Duration, head_timeout: Duration) -> Timeouts {
        Timeouts { head: hold + head_timeout, read: READ_TIMEOUT.max(head_timeout) }
    }
}

/// Time and memory limits of a response.
#[derive(Clone, Debug)]
pub(super) struct ResponseLimits {
    pub(super) timeouts: Timeouts,
    /// Maximum length of the body, in bytes.
    pub(super) max_bytes: usize,
    /// Memory that the responses of all calls share.
    pub(super) memory: ListMemory,
}

/// A connection to the discovery service, which is closed when it is dropped.
pub(super) struct Connection<P: Runtime> {
    /// Number of calls made on this connection.
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

    /// Returns whether an earlier call was made on this connection, so that the last response may be a duplicate of
    /// an earlier one.
    pub(super) fn is_used(&self) -> bool {
        self.calls > 1
    }

    /// Returns whether the connection can carry no further call.
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

/// Sends a GET request for `path` on `connection`, or on a new connection to `address` if there is none.
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

/// Reads a response body.
///
/// A response may stall half way with the connection open, or arrive one byte at a time without end. Reading goes on
/// while data arrives, but no longer than [`RESPONSE_TIMEOUT`], which is more than any regular response takes.
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
