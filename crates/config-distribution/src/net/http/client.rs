//! HTTP client that sends one request at a time on one connection.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, MAX_MESSAGE_BYTES, READ_BUFFER_BYTES, REQUEST_ID_HEADER};

/// The error of a request.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established in time.
    #[error("connection timed out")]
    ConnectTimeout,
    /// The connection was refused, or failed while it was being established.
    #[error("{0}")]
    Connect(#[source] io::Error),
    /// The request could not be built.
    #[error("{0}")]
    InvalidRequest(#[source] hyper::http::Error),
    /// The connection failed.
    #[error("{0}")]
    Connection(#[source] hyper::Error),
    /// The response's body was too large, or its connection failed.
    #[error("{0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// There was no response in time.
    #[error("response timed out")]
    ResponseTimeout,
    /// The response has the id of another request: it is a duplicate, or follows one.
    #[error("response to another request")]
    OtherResponse,
    /// The response's body cannot be parsed.
    #[error("invalid response: {0}")]
    InvalidResponse(#[source] serde_json::Error),
    /// The peer has rejected the request.
    #[error("{reason} ({status})")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The reason that the peer gave.
        reason: String,
    },
}

/// The body of a response that is not a success.
#[derive(Default, Deserialize)]
struct ErrorBody {
    error: Option<String>,
}

/// A client for one peer. It reuses its connection for later requests.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
    has_responded: bool,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// The number of requests sent on the connection.
    requests: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HttpClient {
    /// Creates a client for the peer at `address`. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient { address, connection: None, has_responded: false }
    }

    /// Returns whether the peer has responded on the current connection, or on the last one if that has failed.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Sends a GET request, or a POST request if there is a `body`, and returns the body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `response_timeout`, or its status is not 200.
    pub async fn fetch(
        &mut self,
        target: &str,
        body: Option<Vec<u8>>,
        response_timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let mut connection = self.connected().await?;
        let request = Request::builder()
            .method(if body.is_some() { "POST" } else { "GET" })
            .uri(target)
            .header("Host", self.address.to_string())
            .header(REQUEST_ID_HEADER, connection.next_request_id())
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(CallError::InvalidRequest)?;
        let response = timeout(response_timeout, connection.exchange(request)).await;
        let (status, body) = response.map_err(|_| CallError::ResponseTimeout)??;
        self.connection = Some(connection);
        self.has_responded = true;
        if status == StatusCode::OK {
            return Ok(body);
        }
        let rejection: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
        let reason = rejection.error.unwrap_or_else(|| "refused".to_owned());
        Err(CallError::Rejected { status: status.as_u16(), reason })
    }

    /// Sends a request like [`HttpClient::fetch`], and parses the response's body as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error as [`HttpClient::fetch`] does, or if the body cannot be parsed. The connection is closed then.
    pub async fn fetch_json<T: DeserializeOwned>(
        &mut self,
        target: &str,
        body: Option<Vec<u8>>,
        response_timeout: Duration,
    ) -> Result<T, CallError> {
        let body = self.fetch(target, body, response_timeout).await?;
        serde_json::from_slice(&body).map_err(|error| {
            self.connection = None;
            CallError::InvalidResponse(error)
        })
    }

    /// Takes the open connection, or establishes a new one.
    async fn connected(&mut self) -> Result<Connection, CallError> {
        let reusable = self.connection.take().filter(|c| !c.sender.is_closed());
        if let Some(connection) = reusable {
            return Ok(connection);
        }
        self.has_responded = false;
        let connection = timeout(CONNECT_TIMEOUT, connect(self.address)).await;
        connection.map_err(|_| CallError::ConnectTimeout)?.map_err(CallError::Connect)
    }
}

impl Connection {
    /// Returns an id that no earlier request on the connection had.
    fn next_request_id(&mut self) -> HeaderValue {
        self.requests += 1;
        HeaderValue::from(self.requests)
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), CallError> {
        self.sender.ready().await.map_err(CallError::Connection)?;
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let response = self.sender.send_request(request).await.map_err(CallError::Connection)?;
        let named_id = response.headers().get(REQUEST_ID_HEADER);
        if named_id.is_some() && named_id != request_id.as_ref() {
            return Err(CallError::OtherResponse);
        }
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await;
        Ok((status, body.map_err(CallError::Body)?.to_bytes()))
    }
}

async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The error is also returned to the sender.
        let _ = driver.await;
    });
    Ok(Connection { sender, task, requests: 0 })
}
