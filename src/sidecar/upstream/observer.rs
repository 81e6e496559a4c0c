//! Observes the bytes of requests and responses on a connection, between hyper and the socket.
//!
//! hyper reports that a connection failed, but not whether the last byte of the request was written
//! before. A request that was not sent in full was not executed, and may be sent again even if it is
//! not idempotent.

use std::cell::{Cell, RefCell};
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use runtime::{Observer, Runtime, Tcp};
use tokio::sync::Notify;

use super::desync::ResponseHistory;
use super::request_end::RequestEnd;
use crate::sidecar::execution::ResponseFacts;
use crate::sidecar::framing::{BodyEnd, Framing, MessageKind};
use crate::sidecar::status::Status;

/// The length in bytes of the sequence that ends a head: CR LF CR LF.
const HEAD_TERMINATOR_LENGTH: usize = 4;

/// The progress of writing a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestPhase {
    /// There was no request yet.
    #[default]
    Idle,
    /// No byte of the request has been written.
    Pending,
    /// Some or all bytes of the request have been written.
    InProgress,
}

/// Tracks the end of a request in the bytes that are written.
#[derive(Default)]
struct RequestProgress {
    phase: Cell<RequestPhase>,
    /// Length of the head terminator's prefix that the written bytes end with.
    terminator_matched: Cell<usize>,
    in_head: Cell<bool>,
    /// Number of bytes of the body still to be written.
    body_left: Cell<u64>,
    /// The time at which the last byte was written, or `None` before.
    completed_at: Cell<Option<Instant>>,
}

impl RequestProgress {
    /// Starts a request with a body of `body` bytes.
    fn begin(&self, body: u64) {
        self.phase.set(RequestPhase::Pending);
        self.terminator_matched.set(0);
        self.in_head.set(true);
        self.body_left.set(body);
        self.completed_at.set(None);
    }

    /// Finds the end of the head in `bytes`, the next bytes to be written.
    ///
    /// Returns the position after the head, or as an error the length of the terminator's prefix that `bytes` end
    /// with.
    fn find_head_end(&self, bytes: &[u8]) -> Result<usize, usize> {
        let mut matched = self.terminator_matched.get();
        for (index, &byte) in bytes.iter().enumerate() {
            matched = match (byte, matched) {
                (b'\r', 0 | 2) | (b'\n', 1 | 3) => matched + 1,
                (b'\r', _) => 1,
                _ => 0,
            };
            if matched == HEAD_TERMINATOR_LENGTH {
                return Ok(index + 1);
            }
        }
        Err(matched)
    }

    /// Returns the position in `bytes`, the next bytes to be written, at which the request ends, if it does.
    fn find_end(&self, bytes: &[u8]) -> Option<usize> {
        let head = if self.in_head.get() { self.find_head_end(bytes).ok()? } else { 0 };
        let left = usize::try_from(self.body_left.get()).ok()?;
        head.checked_add(left).filter(|&end| end <= bytes.len())
    }

    /// Records that `bytes` were written. Returns whether the request is complete.
    fn advance(&self, mut bytes: &[u8]) -> bool {
        if !bytes.is_empty() {
            self.phase.set(RequestPhase::InProgress);
        }
        if self.in_head.get() {
            match self.find_head_end(bytes) {
                Ok(end) => {
                    self.in_head.set(false);
                    bytes = &bytes[end..];
                }
                Err(matched) => {
                    self.terminator_matched.set(matched);
                    return false;
                }
            }
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len() as u64));
        self.body_left.get() == 0
    }
}

/// Observes the successive exchanges on one connection.
///
/// It can hold back the last byte of a request ([`ExchangeObserver::hold_last_byte`]), until
/// [`ExchangeObserver::release_last_byte`].
pub(super) struct ExchangeObserver<P> {
    /// The address of the server.
    address: SocketAddr,
    /// The server's response history, shared by all of its connections.
    history: Rc<ResponseHistory>,
    request: RequestProgress,
    response: RefCell<Framing>,
    /// The time at which the first bytes of the final response arrived, or `None` before.
    response_began_at: Cell<Option<Instant>>,
    /// The time at which bytes of the final response last arrived, or `None` before the first.
    response_active_at: Cell<Option<Instant>>,
    response_began: Notify,
    /// Whether nothing was left to read for a while within the response.
    response_paused: Cell<bool>,
    /// Number of requests that were begun.
    requests: Cell<u64>,
    /// Whether bytes arrived that belong to no response. The connection cannot be reused then.
    unexpected_bytes: Cell<bool>,
    holds_last_byte: Cell<bool>,
    /// The end of the request, after which no byte of it is written.
    request_end: RefCell<Rc<RequestEnd>>,
    write_waker: Cell<Option<Waker>>,
    status: Rc<Status>,
    runtime: PhantomData<P>,
}

impl<P: Runtime> ExchangeObserver<P> {
    /// Creates an observer for a new connection to the server at `address`.
    ///
    /// Response bodies may have up to `max_body_bytes`. Requests that are sent in full are counted in `status`.
    pub(super) fn new(
        address: SocketAddr,
        max_body_bytes: usize,
        history: Rc<ResponseHistory>,
        status: Rc<Status>,
    ) -> ExchangeObserver<P> {
        ExchangeObserver {
            address,
            history,
            request: RequestProgress::default(),
            response: RefCell::new(Framing::new(MessageKind::Response, max_body_bytes)),
            response_began_at: Cell::new(None),
            response_active_at: Cell::new(None),
            response_began: Notify::new(),
            response_paused: Cell::new(false),
            requests: Cell::new(0),
            unexpected_bytes: Cell::new(false),
            holds_last_byte: Cell::new(false),
            request_end: RefCell::default(),
            write_waker: Cell::new(None),
            status,
            runtime: PhantomData,
        }
    }

    /// Starts an exchange whose request has a body of `body` bytes, or `u64::MAX` if the length is unknown. No byte of it is
    /// written after `end`.
    pub(super) fn begin(&self, body: u64, end: Rc<RequestEnd>) {
        self.response.borrow_mut().start_next();
        self.response_began_at.set(None);
        self.response_active_at.set(None);
        self.response_paused.set(false);
        self.requests.set(self.requests.get() + 1);
        self.request.begin(body);
        self.request_end.replace(end);
        self.holds_last_byte.set(false);
    }

    /// Checks a connection that is about to be closed for unread bytes, which belong to no response.
    pub(super) fn check_for_unread(&self, socket: &P::Tcp) {
        let has_request = self.request.phase.get() != RequestPhase::Idle;
        let is_over = !has_request || self.response.borrow().is_complete();
        if is_over && socket.has_unread() {
            self.record_unexpected_bytes();
        }
    }

    /// Records that bytes arrived that belong to no response. The connection cannot be reused then.
    pub(super) fn record_unexpected_bytes(&self) {
        if self.unexpected_bytes.replace(true) {
            return;
        }
        if let Some(duration) = self.history.record_unexpected_bytes(P::now()) {
            self.status.events.record_reuse_suspension();
            tracing::info!(
                address = %self.address,
                for_s = duration.as_secs(),
                "server sent unexpected bytes, its connections are not reused"
            );
        }
    }

    /// Holds back the last byte of the current request, of which nothing has been written yet.
    pub(super) fn hold_last_byte(&self) {
        self.holds_last_byte.set(true);
    }

    /// Records that the last byte of the request has been written.
    pub(super) fn request_sent(&self) {
        if !self.is_request_sent() {
            self.request.completed_at.set(Some(P::now()));
            self.status.count_attempt();
        }
    }

    /// Returns whether the request has ended before its last byte was written.
    fn is_abandoned(&self) -> bool {
        !self.is_request_sent() && self.request_end.borrow().has_ended()
    }

    /// Completes when the request has ended before its last byte was written.
    pub(super) async fn abandoned(&self) {
        let end = self.request_end.borrow().clone();
        end.ended().await;
        if !self.is_abandoned() {
            std::future::pending().await
        }
    }

    /// Returns whether the last byte of the request has been written, so that the server may have executed it.
    pub(super) fn is_request_sent(&self) -> bool {
        self.request.completed_at.get().is_some()
    }

    /// Lets the last byte of the request be written if it is held back.
    pub(super) fn release_last_byte(&self) {
        self.holds_last_byte.set(false);
        if let Some(write_waker) = self.write_waker.take() {
            write_waker.wake();
        }
    }

    /// Returns when bytes of the final response last arrived, or `None` before the first.
    pub(super) fn response_active_at(&self) -> Option<Instant> {
        self.response_active_at.get()
    }

    /// Returns the time from the last byte of the request to the first byte of the final response.
    ///
    /// It is `None` until both have occurred, and zero if the response came first.
    pub(super) fn response_delay(&self) -> Option<Duration> {
        let (sent, began) = (self.request.completed_at.get()?, self.response_began_at.get()?);
        Some(began.saturating_duration_since(sent))
    }

    /// Returns whether a byte of a request has been written, and its response has not ended.
    pub(super) fn is_in_exchange(&self) -> bool {
        self.request.phase.get() == RequestPhase::InProgress
            && !self.response.borrow().is_complete()
    }

    /// Restarts the allowed gap of a response that was not read for a while.
    pub(super) fn resume_response(&self) {
        if self.response_active_at.get().is_some() {
            self.response_active_at.set(Some(P::now()));
        }
    }

    /// Waits until the first bytes of the final response arrive.
    pub(super) async fn response_began(&self) {
        self.response_began.notified().await;
    }

    /// Returns whether the response may have more bytes than the body that is read from it: bytes follow it that may
    /// belong to it.
    pub(super) fn may_be_cut_short(&self) -> bool {
        self.response.borrow().may_be_cut_short()
    }

    /// Returns whether bytes follow the response that repeat its head, so that it has ended before them.
    pub(super) fn is_followed_by_copy(&self) -> bool {
        let response = self.response.borrow();
        response.is_followed() && !response.may_be_cut_short()
    }

    /// Returns whether nothing was left to read for a while within the response.
    pub(super) fn has_response_paused(&self) -> bool {
        self.response_paused.get()
    }

    /// Returns the number of requests that were begun on the connection.
    pub(super) fn request_count(&self) -> u64 {
        self.requests.get()
    }

    /// Returns the first bytes of the head of the present response.
    pub(super) fn response_head_start(&self) -> Vec<u8> {
        self.response.borrow().head_start().to_vec()
    }

    /// Records that bytes followed a response later that its length left out.
    pub(super) fn record_short_length(&self) {
        if let Some(duration) = self.history.record_short_length(P::now()) {
            self.status.events.record_length_doubt();
            tracing::info!(
                address = %self.address,
                for_s = duration.as_secs(),
                "length of a response was too short, the ends of responses are checked"
            );
        }
    }

    /// Returns where the body of the response ends according to its head, which has been received.
    pub(super) fn body_end(&self) -> BodyEnd {
        self.response.borrow().body_end()
    }

    /// Returns the facts about what arrived in response to the request.
    pub(super) fn response_facts(&self) -> ResponseFacts {
        let response = self.response.borrow();
        ResponseFacts {
            status: response.status(),
            unprocessed: response.unprocessed(),
            complete: response.is_complete(),
            in_turn: self.is_clean(),
        }
    }

    /// Returns whether all bytes that arrived belong to a response.
    pub(super) fn is_clean(&self) -> bool {
        !self.unexpected_bytes.get()
    }

    /// Returns whether the connection can be used for another request.
    ///
    /// Bytes that follow a response would be taken for the response to the next request. A response that did not end
    /// where its head says prevents reuse too.
    pub(super) fn is_reusable(&self) -> bool {
        self.is_clean() && self.response.borrow().is_complete()
    }
}

impl<P: Runtime> Observer for ExchangeObserver<P> {
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut response = self.response.borrow_mut();
        let was_complete = response.is_complete();
        // Bytes that arrive before the last byte of the request was written cannot answer it.
        if !bytes.is_empty() && (!self.is_request_sent() || was_complete) {
            self.record_unexpected_bytes();
        }
        if let Err(fault) = response.feed(bytes) {
            if response.is_complete() {
                // The bytes follow a complete response, which hyper may still deliver.
                self.record_unexpected_bytes();
                if was_complete && response.may_be_cut_short() {
                    self.record_short_length();
                }
                return Ok(());
            }
            tracing::debug!(%fault, "invalid response from server");
            return Err(io::Error::new(io::ErrorKind::InvalidData, fault));
        }
        if !response.has_started() {
            self.response_active_at.set(None);
        } else if self.response_active_at.replace(Some(P::now())).is_none() {
            self.response_began_at.set(self.response_active_at.get());
            self.response_began.notify_one();
        }
        Ok(())
    }

    fn on_read_pending(&self) {
        let response = self.response.borrow();
        if response.has_started() && !response.is_complete() {
            self.response_paused.set(true);
        }
    }

    fn requires_idle_socket(&self) -> bool {
        self.request.phase.get() == RequestPhase::Pending
    }

    fn limits_writes(&self) -> bool {
        self.holds_last_byte.get() || self.is_abandoned()
    }

    fn poll_write_allowance(&self, bytes: &[u8], cx: &mut Context<'_>) -> Poll<usize> {
        if self.is_abandoned() {
            // The attempt ends, and its connection with it.
            return Poll::Pending;
        }
        match self.request.find_end(bytes) {
            Some(1) if self.holds_last_byte.get() => {
                self.write_waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
            Some(end) if self.holds_last_byte.get() && end > 1 => Poll::Ready(end - 1),
            _ => Poll::Ready(bytes.len()),
        }
    }

    fn on_write(&self, bytes: &[u8]) {
        if self.request.advance(bytes) {
            self.request_sent();
        }
    }
}
