//! Sending a request on a connection, whatever it is for.

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

/// The header that tells a server how long the client still waits, in milliseconds.
const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// Sends `request` and waits for the head of its response; none if the connection breaks before.
pub(super) async fn send_request<P: Runtime>(
    connection: &mut Connection<P>,
    request: &UpstreamRequest,
    limits: &AttemptLimits,
) -> Option<Response<Incoming>> {
    let time_left = request.time_left(P::now(), limits.deadline);
    let observer = connection.observer.clone();
    let message = build_message(connection, request, time_left);
    // An idempotent request need not wait for a test: if the connection is gone, it is sent once more.
    let test_duration = match request.retry_safety {
        RetrySafety::NonIdempotent => connection.test_duration(),
        _ => None,
    };
    observer.begin(request.content_length().unwrap_or(u64::MAX));
    if test_duration.is_some() {
        observer.hold_last_byte();
    }
    let mut response = pin!(connection.sender.send_request(message));
    if let Some(test_duration) = test_duration {
        if let Ok(response) = timeout::<P, _>(test_duration, &mut response).await {
            return response.ok();
        }
        // The byte that was held back would have a request executed that was given up meanwhile, or
        // at a server that wants none by now.
        if invariants::may_send(limits.send_facts(request, P::now())).is_err() {
            return None;
        }
        observer.release();
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
