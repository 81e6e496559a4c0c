//! HTTP server with a limited number of connections, each with timeouts.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_io_timeout::TimeoutStream;

use super::{
    ACCEPT_RETRY_DELAY, MAX_MESSAGE_BYTES, READ_BUFFER_BYTES, READ_TIMEOUT, REQUEST_ID_HEADER,
    WRITE_TIMEOUT,
};

/// A request with its body.
pub struct ApiRequest {
    /// The path.
    pub path: String,
    /// The query parameters.
    pub query: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl ApiRequest {
    async fn read(request: Request<Incoming>) -> Result<ApiRequest, ApiResponse> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().as_bytes();
        let query = form_urlencoded::parse(query).into_owned().collect();
        let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect();
        match timeout(WRITE_TIMEOUT, body).await {
            Ok(Ok(body)) => Ok(ApiRequest { path, query, body: body.to_bytes() }),
            Ok(Err(error)) => {
                Err(ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()))
            }
            Err(_) => {
                let reason = "the body did not come in time";
                Err(ApiResponse::error(StatusCode::REQUEST_TIMEOUT, reason))
            }
        }
    }

    /// Returns the first value of a query parameter; empty if there is none.
    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Returns all values of a query parameter.
    pub fn parameters<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.query.iter().filter(move |(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a numeric query parameter; 0 if there is none.
    ///
    /// # Errors
    ///
    /// Returns the error response if the value is not a number.
    pub fn number(&self, name: &str) -> Result<u64, ApiResponse> {
        match self.parameter(name) {
            "" => Ok(0),
            text => text.parse().map_err(|_| {
                ApiResponse::error(StatusCode::BAD_REQUEST, &format!("{name}: a number expected"))
            }),
        }
    }
}

/// A response with its status.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    status: StatusCode,
    body: Vec<u8>,
}

/// The body of a response that is not a success.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl ApiResponse {
    /// Creates a successful response whose body is this value as JSON.
    pub fn json(value: &impl Serialize) -> ApiResponse {
        match serde_json::to_vec(value) {
            Ok(body) => ApiResponse { status: StatusCode::OK, body },
            Err(error) => ApiResponse::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    /// Creates an error response with this reason.
    pub fn error(status: StatusCode, reason: &str) -> ApiResponse {
        let body = serde_json::to_vec(&ErrorBody { error: reason }).unwrap_or_default();
        ApiResponse { status, body }
    }

    /// Converts this into an HTTP response that repeats the id of its request, if the request had one.
    fn into_http(self, request_id: Option<HeaderValue>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() = self.status;
        if let Some(id) = request_id {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }
}

/// Serves requests on `listener`, with at most `max_connections` connections. Never returns.
pub async fn serve<F: Future<Output = ApiResponse> + 'static>(
    listener: TcpListener,
    max_connections: usize,
    handler: impl Fn(ApiRequest) -> F + 'static,
) {
    let handler = Rc::new(handler);
    let connections = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A connection beyond the limit is closed, and the client tries another server.
        let Ok(permit) = connections.clone().try_acquire_owned() else { continue };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            serve_connection(socket, handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<F: Future<Output = ApiResponse> + 'static>(
    socket: TcpStream,
    handler: Rc<impl Fn(ApiRequest) -> F + 'static>,
) {
    let _ = socket.set_nodelay(true);
    // Without timeouts a slow or dead client would occupy its response and its permit indefinitely.
    let mut socket = TimeoutStream::new(socket);
    socket.set_read_timeout(Some(READ_TIMEOUT));
    socket.set_write_timeout(Some(WRITE_TIMEOUT));
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
            let response = match ApiRequest::read(request).await {
                Ok(request) => handler(request).await,
                Err(response) => response,
            };
            Ok::<_, Infallible>(response.into_http(request_id))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES).half_close(false);
    // Errors of a connection are left to the client to handle.
    let _ = builder.serve_connection(TokioIo::new(Box::pin(socket)), service).await;
}
