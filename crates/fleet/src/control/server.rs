//! The daemon's side of the socket.

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

/// The longest request.
const MAX_REQUEST_BYTES: u64 = 4 << 10;
/// Further connections wait to be accepted.
const MAX_CONNECTIONS: usize = 16;
/// After a failure to accept, the next attempt waits for so long.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Where the response to a request goes.
pub type Reply = oneshot::Sender<Result<Response, RequestError>>;

/// A request that waits for its response.
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// Where its response goes.
    pub reply: Reply,
}

/// Serves the socket at `path`, on the current runtime; every request is sent to `requests`.
///
/// # Errors
///
/// When the socket cannot be bound.
///
/// # Panics
///
/// Outside of a runtime.
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
/// A client may send garbage, nothing, or without end, and may not read. Each occupies one of few
/// connections until a timeout, and nothing else.
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

/// Lets the daemon carry out a request; nothing if the daemon does not take requests any more.
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
