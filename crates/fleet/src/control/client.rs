//! The client side of the control socket.

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;

use super::Request;

/// The name of the control socket in the state directory.
pub(crate) const SOCKET_NAME: &str = "control.sock";
/// The time that either side may take to send or read a line.
pub(super) const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// The time that the daemon may take to carry out a request. A reload checks the configurations before
/// it is answered.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A request failed: it did not reach the daemon, or the daemon rejected it.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The daemon cannot be reached.
    #[error("{}: {source}", path.display())]
    Io {
        /// The path of the control socket.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The request cannot be serialized.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The response of the daemon is not valid JSON.
    #[error("{}: {source}", path.display())]
    Decode {
        /// The path of the control socket.
        path: PathBuf,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The daemon rejected the request for this reason.
    #[error("{0}")]
    Rejected(String),
}

/// Sends a request to the daemon with the given state directory, and waits for its response.
///
/// # Errors
///
/// When the daemon cannot be reached or does not answer in time, or it rejects the request.
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
