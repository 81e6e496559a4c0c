//! Bodies that are too long to be kept: they are passed on as they come, in both directions.
//!
//! The first bytes of such a body are kept until more is wanted, so a request that no server has begun
//! to take can still go to another one. What has left cannot be sent again.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use runtime::Platform;
use tokio::sync::Notify;

/// What is kept of a body at the most, and timed as one piece.
pub const WINDOW: usize = 64 << 10;
/// What a body that is passed on takes of the budget: its window, and what is on its way.
pub const ROOM: usize = 2 * WINDOW;
/// The longest time between two pieces of a body that has begun.
const GAP: Duration = Duration::from_millis(2500);
/// The pace, in bytes a second, that a client keeps in the mean, beside one such gap.
const CLIENTS_PACE: u64 = 60_000;
/// The same of servers. Slow ones have been seen, and a client waits for as long as it likes.
const SERVERS_PACE: u64 = 8_000;

/// The time that so many bytes may take on their way from or to a client.
pub fn pace(bytes: u64) -> Duration {
    at_pace(bytes, CLIENTS_PACE)
}

fn at_pace(bytes: u64, pace: u64) -> Duration {
    Duration::from_millis(bytes.saturating_mul(1000) / pace)
}

/// A body broke off, or stopped, or is longer than bodies may be.
#[derive(Debug)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body broke off")
    }
}

impl std::error::Error for Broken {}

/// A body of any make.
pub type Source = Pin<Box<dyn Body<Data = Bytes, Error = Broken>>>;

/// A body on its way in, which ends in time, one way or the other.
///
/// Danger: a peer that stops half way, or trickles, would hold a request and its places for ever. Its
/// time runs only while it is waited for: a receiver that takes its time is not the sender's fault.
/// Harmful to senders with long pauses.
pub struct Paced<P: Platform> {
    body: Incoming,
    /// So many bytes may still come.
    left: u64,
    pace: u64,
    got: u64,
    waited: Duration,
    /// Since when more is waited for, and what wakes when that is too long.
    waiting: Option<(Instant, Pin<Box<P::Sleep>>)>,
}

impl<P: Platform> Paced<P> {
    /// The rest of a client's body that may have `longest` bytes more.
    pub fn of_client(body: Incoming, longest: u64) -> Paced<P> {
        Paced::new(body, longest, CLIENTS_PACE)
    }

    /// The same of a server's.
    pub fn of_server(body: Incoming, longest: u64) -> Paced<P> {
        Paced::new(body, longest, SERVERS_PACE)
    }

    fn new(body: Incoming, left: u64, pace: u64) -> Paced<P> {
        Paced { body, left, pace, got: 0, waited: Duration::ZERO, waiting: None }
    }
}

impl<P: Platform> Body for Paced<P> {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let now = P::now();
                let most =
                    (GAP + at_pace(self.got, self.pace)).saturating_sub(self.waited).min(GAP);
                let (_, sleep) =
                    self.waiting.get_or_insert_with(|| (now, Box::pin(P::sleep_until(now + most))));
                return sleep.as_mut().poll(cx).map(|()| Some(Err(Broken)));
            }
        };
        if let Some((since, _)) = self.waiting.take() {
            self.waited += P::since(since);
        }
        match frame {
            None => Poll::Ready(None),
            Some(Err(_)) => Poll::Ready(Some(Err(Broken))),
            Some(Ok(frame)) => {
                let n = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.got += n;
                match self.left.checked_sub(n) {
                    Some(left) => self.left = left,
                    None => return Poll::Ready(Some(Err(Broken))),
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// How far an upload has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    /// All that has come is kept.
    Kept,
    /// Some of it has left.
    Flowing,
    /// Its last byte came then.
    Ended(Instant),
    Broken,
}

/// A request's body that is passed on as it comes.
pub struct Upload {
    /// How long the client waits for an answer, from the body's last byte on.
    pub left: Duration,
    /// Its whole length, if its head tells.
    pub length: Option<u64>,
    /// When its last byte came to the sidecar, where that is seen before it is wanted.
    come: Rc<Cell<Option<Instant>>>,
    kept: RefCell<Bytes>,
    source: RefCell<Source>,
    flow: Cell<Flow>,
    /// No attempt gets anything more: the request has its answer.
    over: Cell<bool>,
    /// How many attempts have begun, and which of them has what is not kept.
    attempts: Cell<u64>,
    taker: Cell<Option<u64>>,
    /// Bytes that have left behind what was kept.
    moved: Cell<u64>,
    changed: Notify,
    now: fn() -> Instant,
}

impl Upload {
    /// `kept` has come, the rest is in `source`; `come` tells when its last byte came.
    pub fn new<P: Platform>(
        kept: Bytes,
        source: Source,
        length: Option<u64>,
        left: Duration,
        come: Rc<Cell<Option<Instant>>>,
    ) -> Rc<Upload> {
        Rc::new(Upload {
            left,
            length,
            come,
            kept: RefCell::new(kept),
            source: RefCell::new(source),
            flow: Cell::new(Flow::Kept),
            over: Cell::new(false),
            attempts: Cell::new(0),
            taker: Cell::new(None),
            moved: Cell::new(0),
            changed: Notify::new(),
            now: P::now,
        })
    }

    /// Whether an attempt can still have all of it.
    pub fn is_kept(&self) -> bool {
        self.flow.get() == Flow::Kept && !self.over.get()
    }

    /// When its last byte left, or could have, if it has.
    pub fn end(&self) -> Option<Instant> {
        match self.flow.get() {
            Flow::Ended(at) => Some(at),
            _ => None,
        }
    }

    /// Until when the client waits, once its last byte has come.
    ///
    /// Danger: the rest of a body may have come, and wait here, long before an attempt wants it: its
    /// time runs meanwhile.
    pub fn due(&self) -> Option<Instant> {
        Some(self.come.get().or(self.end())? + self.left)
    }

    /// Done when some of it has left that is not kept.
    pub async fn begun(&self) {
        self.until(|flow| flow != Flow::Kept).await;
    }

    /// Done when its last byte has come.
    pub async fn ended(&self) {
        self.until(|flow| matches!(flow, Flow::Ended(_))).await;
    }

    /// Done when nothing of it has moved for long.
    ///
    /// Danger: a server that takes no more of a body would hold its client for ever. A client that
    /// brings no more is found out sooner, by [`Paced`].
    pub async fn stalled<P: Platform>(&self) {
        loop {
            let before = self.moved.get();
            P::sleep(2 * GAP).await;
            if self.moved.get() == before {
                return;
            }
        }
    }

    async fn until(&self, reached: impl Fn(Flow) -> bool) {
        loop {
            let changed = self.changed.notified();
            if reached(self.flow.get()) {
                return;
            }
            changed.await;
        }
    }

    fn turn(&self, flow: Flow) {
        if self.flow.replace(flow) != flow {
            self.changed.notify_waiters();
        }
    }

    /// The next piece behind what was kept, which is let go.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        match self.flow.get() {
            Flow::Ended(_) => return Poll::Ready(None),
            Flow::Broken => return Poll::Ready(Some(Err(Broken))),
            Flow::Kept => {
                self.turn(Flow::Flowing);
                *self.kept.borrow_mut() = Bytes::new();
            }
            Flow::Flowing => {}
        }
        loop {
            let frame = ready!(self.source.borrow_mut().as_mut().poll_frame(cx));
            match frame.transpose() {
                Ok(None) => {
                    self.turn(Flow::Ended((self.now)()));
                    return Poll::Ready(None);
                }
                Err(broken) => {
                    self.turn(Flow::Broken);
                    return Poll::Ready(Some(Err(broken)));
                }
                // Trailers end with this hop.
                Ok(Some(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.moved.set(self.moved.get() + data.len() as u64);
                        // Danger: of a body with a known length nobody asks for more than its last
                        // byte. Its time would never begin to run.
                        if self.source.borrow().is_end_stream() {
                            self.turn(Flow::Ended((self.now)()));
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// Takes in what the client still sends, once the request has its answer.
    ///
    /// Danger: an answer that is written while the client still sends may be lost with the connection.
    ///
    /// # Errors
    ///
    /// When it breaks off.
    pub async fn drain(&self) -> Result<(), Broken> {
        self.over.set(true);
        loop {
            match std::future::poll_fn(|cx| self.poll_next(cx)).await {
                None => return Ok(()),
                Some(Ok(_)) => {}
                Some(Err(broken)) => return Err(broken),
            }
        }
    }
}

/// One attempt's share in an upload: all of it, from the first byte on.
///
/// Danger: two attempts that share what is not kept would each send a body with holes, which in chunks
/// looks whole. The first that wants more than was kept has it; any other ends.
pub struct Outgoing {
    upload: Rc<Upload>,
    number: u64,
    first: Option<Bytes>,
}

impl Outgoing {
    /// For an attempt that begins now.
    pub fn new(upload: Rc<Upload>) -> Outgoing {
        let first = Some(upload.kept.borrow().clone());
        let number = upload.attempts.get();
        upload.attempts.set(number + 1);
        Outgoing { upload, number, first }
    }

    /// Its whole length, if it is known.
    pub fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// The next piece.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.upload.over.get() {
            return Poll::Ready(Some(Err(Broken)));
        }
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(first)));
        }
        let taker = self.upload.taker.get().unwrap_or(self.number);
        self.upload.taker.set(Some(taker));
        if taker != self.number {
            return Poll::Ready(Some(Err(Broken)));
        }
        self.upload.poll_next(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http_body_util::{BodyExt, Full};
    use runtime::Tokio;

    fn upload(kept: &'static str, rest: &'static str) -> Rc<Upload> {
        let rest = Full::new(Bytes::from(rest)).map_err(|never| match never {});
        let left = Duration::from_secs(1);
        Upload::new::<Tokio>(Bytes::from(kept), Box::pin(rest), None, left, Rc::default())
    }

    fn all(attempt: &mut Outgoing) -> Result<Vec<u8>, Broken> {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let mut all = Vec::new();
        loop {
            match attempt.poll_next(&mut cx) {
                Poll::Ready(Some(piece)) => all.extend_from_slice(&piece?),
                Poll::Ready(None) => return Ok(all),
                Poll::Pending => panic!("all of it is there"),
            }
        }
    }

    #[test]
    fn until_more_is_wanted_than_was_kept_another_attempt_has_all_of_it() {
        let upload = upload("kept", " and more");
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let mut first = Outgoing::new(upload.clone());
        assert!(matches!(first.poll_next(&mut cx), Poll::Ready(Some(Ok(b))) if b == "kept"));
        assert!(upload.is_kept() && upload.end().is_none());
        let mut second = Outgoing::new(upload.clone());
        assert_eq!(all(&mut second).expect("whole"), b"kept and more");
        assert!(!upload.is_kept() && upload.end().is_some());
        assert!(all(&mut first).is_err(), "what has left cannot be sent again");
        assert!(all(&mut Outgoing::new(upload)).is_err(), "nor by a third");
    }

    #[test]
    fn its_time_runs_from_its_last_byte_asked_for_or_not() {
        let known = upload("kept", " and more");
        let mut attempt = Outgoing::new(known.clone());
        let mut cx = Context::from_waker(std::task::Waker::noop());
        for piece in ["kept", " and more"] {
            assert!(known.due().is_none());
            let next = attempt.poll_next(&mut cx);
            assert!(matches!(next, Poll::Ready(Some(Ok(b))) if b == piece));
        }
        // Nobody asks whether there is more.
        assert_eq!(known.due(), known.end().map(|end| end + known.left));
        let waits = upload("kept", " and more");
        let came = Instant::now();
        waits.come.set(Some(came));
        assert_eq!((waits.end(), waits.due()), (None, Some(came + waits.left)));
    }

    #[test]
    fn once_the_request_has_its_answer_nothing_more_leaves() {
        let upload = upload("kept", " and more");
        let mut attempt = Outgoing::new(upload.clone());
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(upload.drain()).expect("it came whole");
        assert!(all(&mut attempt).is_err());
    }
}
