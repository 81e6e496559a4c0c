//! Follows the bytes of a request and of its response on a connection, beneath hyper.
//!
//! hyper reports that a connection broke, but not whether the last byte of the request had been
//! written before. A request that had not been sent in full was not executed, and may be sent again
//! even if it is not idempotent.

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
use crate::sidecar::execution::ResponseFacts;
use crate::sidecar::framing::{Framing, MessageKind};
use crate::sidecar::status::Status;

/// The length of the sequence that ends a head: CR LF CR LF.
const HEAD_TERMINATOR_LENGTH: usize = 4;

/// How far writing a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RequestPhase {
    /// There was no request yet.
    #[default]
    None,
    /// Nothing of it has been written.
    Begun,
    /// Some of it has been written, or all.
    Started,
}

/// How much of a request has been written.
#[derive(Default)]
struct RequestProgress {
    phase: Cell<RequestPhase>,
    /// How many bytes of the head's terminator were the last to be written.
    terminator_matched: Cell<usize>,
    in_head: Cell<bool>,
    /// Bytes of the body that are still to be written.
    body_left: Cell<u64>,
    /// When the last byte was written; none before.
    completed_at: Cell<Option<Instant>>,
}

impl RequestProgress {
    /// Begins a request with a body of `body` bytes.
    fn begin(&self, body: u64) {
        self.phase.set(RequestPhase::Begun);
        self.terminator_matched.set(0);
        self.in_head.set(true);
        self.body_left.set(body);
        self.completed_at.set(None);
    }

    /// Looks for the end of the head in `bytes`, which are the next to be written: the position after
    /// it, or else how many bytes of the terminator they end with.
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

    /// Where in `bytes`, which are the next to be written, the request ends, if it does.
    fn find_end(&self, bytes: &[u8]) -> Option<usize> {
        let head = if self.in_head.get() { self.find_head_end(bytes).ok()? } else { 0 };
        let left = usize::try_from(self.body_left.get()).ok()?;
        head.checked_add(left).filter(|&end| end <= bytes.len())
    }

    /// Notes that `bytes` were written; whether nothing of the request is left.
    fn advance(&self, mut bytes: &[u8]) -> bool {
        if !bytes.is_empty() {
            self.phase.set(RequestPhase::Started);
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

/// Follows the exchanges on one connection, one after the other.
///
/// It can hold back the last byte of a request ([`ExchangeObserver::hold_last_byte`]), until
/// [`ExchangeObserver::release`].
pub(super) struct ExchangeObserver<P> {
    /// The address of the server.
    address: SocketAddr,
    /// What is known of the server's responses on all connections.
    history: Rc<ResponseHistory>,
    request: RequestProgress,
    response: RefCell<Framing>,
    /// When the first bytes of the final response arrived, if any have.
    response_began_at: Cell<Option<Instant>>,
    /// When bytes of the final response last arrived, if any have.
    response_active_at: Cell<Option<Instant>>,
    response_began: Notify,
    /// Something arrived that belongs to no response: the connection cannot be used again.
    unexpected_bytes: Cell<bool>,
    holds_last_byte: Cell<bool>,
    writer: Cell<Option<Waker>>,
    status: Rc<Status>,
    platform: PhantomData<P>,
}

impl<P: Runtime> ExchangeObserver<P> {
    /// For a new connection to the server at `address`. Bodies of responses may be `longest_body` bytes long;
    /// requests that are sent in full are counted in `status`.
    pub(super) fn new(
        address: SocketAddr,
        longest_body: usize,
        history: Rc<ResponseHistory>,
        status: Rc<Status>,
    ) -> ExchangeObserver<P> {
        ExchangeObserver {
            address,
            history,
            request: RequestProgress::default(),
            response: RefCell::new(Framing::new(MessageKind::Response, longest_body)),
            response_began_at: Cell::new(None),
            response_active_at: Cell::new(None),
            response_began: Notify::new(),
            unexpected_bytes: Cell::new(false),
            holds_last_byte: Cell::new(false),
            writer: Cell::new(None),
            status,
            platform: PhantomData,
        }
    }

    /// Begins an exchange whose request has a body of `body` bytes.
    pub(super) fn begin(&self, body: u64) {
        self.response.borrow_mut().start_next();
        self.response_began_at.set(None);
        self.response_active_at.set(None);
        self.request.begin(body);
        self.holds_last_byte.set(false);
    }

    /// Looks for bytes that nobody has read on a connection that is about to be closed.
    pub(super) fn look_for_unread(&self, socket: &P::Tcp) {
        let has_request = self.request.phase.get() != RequestPhase::None;
        let is_over = !has_request || self.response.borrow().is_complete();
        if is_over && socket.has_unread() {
            self.record_unexpected_bytes();
        }
    }

    /// Notes that something arrived that belongs to no response: the connection cannot be used again.
    pub(super) fn record_unexpected_bytes(&self) {
        if self.unexpected_bytes.replace(true) {
            return;
        }
        if let Some(time) = self.history.record_unexpected_bytes(P::now()) {
            self.status.events.record_reuse_suspension();
            tracing::info!(
                address = %self.address,
                for_s = time.as_secs(),
                "server sent unexpected bytes, its connections are not reused"
            );
        }
    }

    /// Holds back the last byte of the request that has just begun.
    pub(super) fn hold_last_byte(&self) {
        self.holds_last_byte.set(true);
    }

    /// Notes that the last byte of the request has been written.
    pub(super) fn request_sent(&self) {
        if !self.is_request_sent() {
            self.request.completed_at.set(Some(P::now()));
            self.status.count_attempt();
        }
    }

    /// Whether the last byte of the request has been written: it may have been executed.
    pub(super) fn is_request_sent(&self) -> bool {
        self.request.completed_at.get().is_some()
    }

    /// Lets the last byte of the request be written.
    pub(super) fn release(&self) {
        self.holds_last_byte.set(false);
        if let Some(writer) = self.writer.take() {
            writer.wake();
        }
    }

    /// When bytes of the final response last arrived, if any have.
    pub(super) fn response_active_at(&self) -> Option<Instant> {
        self.response_active_at.get()
    }

    /// How long after the last byte of the request the final response began; none if either is still to
    /// come, zero if the response came first.
    pub(super) fn response_delay(&self) -> Option<Duration> {
        let (sent, began) = (self.request.completed_at.get()?, self.response_began_at.get()?);
        Some(began.saturating_duration_since(sent))
    }

    /// Waits until the first bytes of the final response arrive.
    pub(super) async fn response_began(&self) {
        self.response_began.notified().await;
    }

    /// Whether the response says how long its body is.
    pub(super) fn has_delimited_response(&self) -> bool {
        self.response.borrow().has_explicit_end()
    }

    /// What has arrived in response to the request.
    pub(super) fn response_facts(&self) -> ResponseFacts {
        let response = self.response.borrow();
        ResponseFacts {
            status: response.status(),
            unprocessed: response.unprocessed(),
            complete: response.is_complete(),
            in_turn: self.is_clean(),
        }
    }

    /// Whether nothing has arrived that belongs to no response.
    pub(super) fn is_clean(&self) -> bool {
        !self.unexpected_bytes.get()
    }

    /// Whether the connection can be used for another request.
    ///
    /// What follows a response would be taken for the response to the next request. A connection on
    /// which a response ended otherwise than by its announced length is not used again either.
    pub(super) fn is_reusable(&self) -> bool {
        self.is_clean() && self.response.borrow().is_complete()
    }
}

impl<P: Runtime> Observer for ExchangeObserver<P> {
    fn on_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut response = self.response.borrow_mut();
        // What arrives before the last byte of the request was written does not answer it.
        if !bytes.is_empty() && (!self.is_request_sent() || response.is_complete()) {
            self.record_unexpected_bytes();
        }
        if let Err(fault) = response.feed(bytes) {
            if response.is_complete() {
                // It follows a complete response, which hyper may have.
                self.record_unexpected_bytes();
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

    fn requires_idle_socket(&self) -> bool {
        self.request.phase.get() == RequestPhase::Begun
    }

    fn limits_writes(&self) -> bool {
        self.holds_last_byte.get()
    }

    fn poll_write_allowance(&self, bytes: &[u8], cx: &mut Context<'_>) -> Poll<usize> {
        match self.request.find_end(bytes) {
            Some(1) if self.holds_last_byte.get() => {
                self.writer.set(Some(cx.waker().clone()));
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
