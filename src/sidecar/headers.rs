//! The headers of messages that are forwarded.

use hyper::Uri;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// How often the text of a head is in memory while its message is forwarded: the forwarded headers, and the buffer from
/// which they are written. The buffer into which a head of usual length is read belongs to the connection.
const TEXT_COPIES: usize = 2;
/// Memory for each header of a message beside its text, in bytes: its entries in the maps of the message as it is read,
/// kept and sent, and the allocation of its value.
const BYTES_PER_HEADER: usize = 256;

/// Returns the memory in bytes that a head takes while its message is forwarded.
pub fn head_bytes(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    TEXT_COPIES * text + BYTES_PER_HEADER * headers.len()
}

/// Returns the memory in bytes that a head with a target takes while its message is forwarded.
pub fn request_head_bytes(target: &Uri, headers: &HeaderMap) -> usize {
    let target = target.path_and_query().map_or(0, |target| target.as_str().len());
    TEXT_COPIES * target + head_bytes(headers)
}

/// The headers of a message that are forwarded: all except hop-by-hop headers (RFC 9110, section 7.6.1) and those that
/// servers send to this sidecar itself.
///
/// The values are copied, as each would otherwise keep the whole buffer that its message was read into.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !connection_options.contains(name));
    forwarded.map(|(name, value)| (name.clone(), detached(value))).collect()
}

/// A copy of a header value in memory of its own.
fn detached(value: &HeaderValue) -> HeaderValue {
    // Bytes of a valid value are a valid value.
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "expect"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "x-backend-load"
            | "x-unprocessed"
    )
}
