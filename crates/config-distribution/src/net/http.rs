//! HTTP/1.1 client and server with limits on connections, message sizes and times.

mod client;
mod server;

use std::time::Duration;

pub use client::{CallError, HttpClient};
pub use server::{ApiRequest, ApiResponse, serve};

use crate::documents::MAX_TOTAL_BYTES;

/// Maximum size of a body in either direction, in bytes: all documents and the message around them.
const MAX_MESSAGE_BYTES: usize = MAX_TOTAL_BYTES + (8 << 20);
/// Maximum size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Time without received data after which a connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which a write may block before a connection is closed. It also limits the time to read a request's body.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Header with the id of a request, which its response repeats. Peers of earlier versions do not send it.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Builds a request's target from a path and query parameters.
pub fn request_target<'a>(
    path: &str,
    parameters: impl IntoIterator<Item = (&'a str, String)>,
) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.extend_pairs(parameters);
    format!("{path}?{}", query.finish())
}
