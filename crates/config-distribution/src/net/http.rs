//! Requests and responses over HTTP/1.1, with bounds on connections, sizes and times.

mod client;
mod server;

use std::time::Duration;

pub use client::{CallError, HttpClient};
pub use server::{ApiRequest, ApiResponse, serve};

use crate::documents::MAX_TOTAL_BYTES;

/// The largest body in either direction, in bytes: all documents, and what they are wrapped in.
const MAX_MESSAGE_BYTES: usize = MAX_TOTAL_BYTES + (8 << 20);
/// What is read of a connection at once, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// A connection on which nothing has come for so long is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(120);
/// A connection to which nothing could be written for so long is closed. A request's body may take as long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The header by which a response names its request. Peers of earlier versions send none.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request's target: a path with query parameters.
pub fn request_target<'a>(
    path: &str,
    parameters: impl IntoIterator<Item = (&'a str, String)>,
) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    query.extend_pairs(parameters);
    format!("{path}?{}", query.finish())
}
