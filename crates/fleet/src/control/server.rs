//! The server side of the control socket.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;

use super::client::{IO_TIMEOUT, RESPONSE_TIMEOUT};
use super::{Request, RequestError, Response};

/// The length limit of a request, in bytes.
const MAX_REQUEST_BYTES: u64 = 4 << 10;
/// The number of connections that are served at the same time. Further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 16;
/// The delay before the next attempt after a failure to accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The channel for the response to a request.
pub type Reply = oneshot::Sender<Result<Response, RequestError>>;

/// A request that waits for its response.
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// The channel for its response.
    pub reply: Reply,
}

/// Binds the socket at `path` and serves it in a task on the current runtime. Each request is sent to
/// `requests`.
///
/// # Errors
///
/// When the socket cannot be bound.
///
/// # Panics
///
/// When called outside of a tokio runtime.
pub fn serve(path: &Path, requests: mpsc::Sender<PendingRequest>) -> io::Result<()> {
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    tokio::spawn(accept_connections(listener, requests));
    Ok(())
}

async fn accept_connections(listener: UnixListener, requests: mpsc::Sender<PendingRequest>) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((socket, _)) => {
                let requests = requests.clone();
                tokio::spawn(async move {
                    let _ = serve_connection(socket, requests).await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Reads one request and writes its response.
///
/// A client that sends invalid data, nothing or an endless line, or that does not read its response,
/// occupies its connection until a timeout and affects nothing else.
async fn serve_connection(
    socket: UnixStream,
    requests: mpsc::Sender<PendingRequest>,
) -> io::Result<()> {
    let (read, mut write) = socket.into_split();
    let mut line = String::new();
    let mut read = BufReader::new(read.take(MAX_REQUEST_BYTES));
    timeout(IO_TIMEOUT, read.read_line(&mut line)).await??;
    let result = match serde_json::from_str(line.trim()) {
        Ok(request) => match forward(request, &requests).await {
            Some(result) => result,
            None => return Ok(()),
        },
        Err(error) => Err(RequestError::Malformed(error)),
    };
    let text = encode(result) + "\n";
    timeout(IO_TIMEOUT, write.write_all(text.as_bytes())).await?
}

/// Has the daemon carry out a request. Returns `None` if the daemon no longer takes requests.
async fn forward(
    request: Request,
    requests: &mpsc::Sender<PendingRequest>,
) -> Option<Result<Response, RequestError>> {
    let (reply, response) = oneshot::channel();
    requests.send(PendingRequest { request, reply }).await.ok()?;
    Some(match timeout(RESPONSE_TIMEOUT, response).await {
        Ok(result) => result.unwrap_or(Err(RequestError::DaemonEnded)),
        Err(_) => Err(RequestError::Timeout),
    })
}

fn encode(result: Result<Response, RequestError>) -> String {
    let result = result.map_err(|error| error.to_string());
    let value = result
        .and_then(|response| serde_json::to_value(response).map_err(|error| error.to_string()));
    match value {
        Ok(value) => json!({"ok": value}).to_string(),
        Err(message) => json!({"error": message}).to_string(),
    }
}
