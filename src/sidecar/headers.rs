//! The headers of messages that are forwarded.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

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
