//! The operators' side of the socket.

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;

use super::Request;

/// The daemon's socket in its state directory.
pub(crate) const SOCKET_NAME: &str = "control.sock";
/// How long either side may take to send or read a line.
pub(super) const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the daemon may take to carry out a request: a reload checks the configurations first.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// The daemon was not asked, or did not do what it was asked for.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The daemon cannot be reached.
    #[error("{}: {source}", path.display())]
    Io {
        /// The daemon's socket.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The request cannot be written as JSON.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The daemon's response is not JSON.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The daemon's socket.
        path: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The daemon rejected the request: its reason.
    #[error("{0}")]
    Rejected(String),
}

/// Sends a request to the daemon with the given state directory, and waits for its response.
///
/// # Errors
///
/// When there is no daemon, or it rejects the request.
pub fn send_request(state_directory: &Path, request: &Request) -> Result<Value, ClientError> {
    let path = state_directory.join(SOCKET_NAME);
    let text = serde_json::to_string(request).map_err(ClientError::Encode)?;
    let line = match exchange(&path, &text) {
        Ok(line) => line,
        Err(source) => return Err(ClientError::Io { path, source }),
    };
    let mut response: Value = match serde_json::from_str(&line) {
        Ok(response) => response,
        Err(source) => return Err(ClientError::Decode { path, source }),
    };
    match response.get("error").and_then(Value::as_str) {
        Some(reason) => Err(ClientError::Rejected(reason.to_owned())),
        None => Ok(response["ok"].take()),
    }
}

fn exchange(path: &Path, request: &str) -> io::Result<String> {
    let mut socket = UnixStream::connect(path)?;
    socket.set_read_timeout(Some(RESPONSE_TIMEOUT + IO_TIMEOUT))?;
    socket.write_all(format!("{request}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line)?;
    Ok(line)
}
