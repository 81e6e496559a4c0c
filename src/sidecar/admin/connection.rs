//! Reading a command from an admin connection and writing the response.

use std::io::ErrorKind;

use runtime::{Runtime, Tcp};
use thiserror::Error;

/// Maximum length of a command line, in bytes.
const MAX_LINE_BYTES: usize = 512;

/// Error returned when no complete line was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The connection was closed before the end of the line. An incomplete line is not executed: `disable-server s-1`
    /// may have been meant for `s-12`.
    #[error("the line did not end")]
    Incomplete,
    /// The line is not UTF-8.
    #[error("text expected")]
    NotText,
    /// The line is longer than the maximum length.
    #[error("the line is too long")]
    TooLong,
    /// Reading failed.
    #[error("the connection broke")]
    Broken,
    /// No complete line was received in time.
    #[error("a whole line expected")]
    TimedOut,
}

/// Reads the first line, without the line break. Input after it is ignored.
///
/// # Errors
///
/// When no complete line was received.
pub async fn read_line<P: Runtime>(socket: &P::Tcp) -> Result<String, ReadError> {
    let mut line = Vec::new();
    let mut buffer = [0; MAX_LINE_BYTES];
    loop {
        match socket.try_read(&mut buffer) {
            Ok(0) => return Err(ReadError::Incomplete),
            Ok(n) => {
                line.extend_from_slice(&buffer[..n]);
                if let Some(end) = line.iter().position(|&byte| byte == b'\n') {
                    line.truncate(end);
                    return String::from_utf8(line).map_err(|_| ReadError::NotText);
                }
                if line.len() > MAX_LINE_BYTES {
                    return Err(ReadError::TooLong);
                }
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let ready = std::future::poll_fn(|cx| socket.poll_read_ready(cx)).await;
                ready.map_err(|_| ReadError::Broken)?;
            }
            Err(_) => return Err(ReadError::Broken),
        }
    }
}

/// Writes `text` until all of it is written or writing fails.
pub async fn write_all<P: Runtime>(socket: &P::Tcp, mut text: &[u8]) {
    while !text.is_empty() {
        match socket.try_write(text) {
            Ok(n) => text = &text[n..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if std::future::poll_fn(|cx| socket.poll_write_ready(cx)).await.is_err() {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}
