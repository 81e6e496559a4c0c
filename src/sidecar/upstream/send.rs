//! Sends a request on a connection, for attempts, health checks and sync checks alike.

use std::pin::pin;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use runtime::{Runtime, timeout};

use super::connection::Connection;
use super::request::{AttemptLimits, RequestBody, UpstreamRequest};
use crate::settings::RetrySafety;
use crate::sidecar::invariants;

/// The header that tells the server how long the client still waits, in milliseconds.
const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// Sends `request` and returns the head of its response, or `None` if the connection fails or the request may no
/// longer be sent.
pub(super) async fn send_request<P: Runtime>(
    connection: &mut Connection<P>,
    request: &UpstreamRequest,
    limits: &AttemptLimits,
) -> Option<Response<Incoming>> {
    let time_left = request.time_left(P::now(), limits.deadline);
    let observer = connection.observer.clone();
    connection.heads.record(request.head_bytes);
    connection.heads.keep(request.head_reservation.clone());
    let message = build_message(connection, request, time_left);
    // Only a request that may not be repeated needs a stale check. Others are resent if the connection is closed.
    let stale_check_duration = match request.retry_safety {
        RetrySafety::NonIdempotent => connection.stale_check_duration(),
        _ => None,
    };
    observer.begin(request.content_length().unwrap_or(u64::MAX), request.end.clone());
    if stale_check_duration.is_some() {
        observer.hold_last_byte();
    }
    let mut response = pin!(connection.sender.send_request(message));
    if let Some(stale_check_duration) = stale_check_duration {
        if let Ok(response) = timeout::<P, _>(stale_check_duration, &mut response).await {
            return response.ok();
        }
        // The request may have been given up during the check, or its server may have started to drain. Releasing
        // the last byte would have it executed all the same.
        if invariants::may_send(limits.send_facts(request, P::now())).is_err() {
            return None;
        }
        observer.release_last_byte();
    }
    response.await.ok()
}

fn build_message<P: Runtime>(
    connection: &Connection<P>,
    request: &UpstreamRequest,
    time_left: Duration,
) -> Request<RequestBody<P>> {
    let mut message = Request::new(RequestBody::new(request, &connection.observer));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = request.headers.clone();
    let headers = message.headers_mut();
    headers.insert(TIME_LEFT_HEADER, HeaderValue::from(time_left.as_millis() as u64));
    if let Ok(host) = HeaderValue::try_from(connection.address.to_string()) {
        headers.entry(HOST).or_insert(host);
    }
    if request.method != Method::GET
        && let Some(length) = request.content_length()
    {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    message
}
