//! The rest of a response that is forwarded as it is received.

use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use runtime::Runtime;

use super::Upstream;
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::end_check::EndCheck;
use crate::api::ServerId;
use crate::sidecar::body::{BodyError, MinRateBody};
use crate::sidecar::response_end::{EndState, LengthFacts};
use crate::sidecar::response_pace::ResponsePace;

/// The time that is left for the last bytes of a response to reach their client before it counts as lost.
const DELIVERY_MARGIN: Duration = Duration::from_millis(20);

/// The connection that the rest of a response is read from, and what a check of its end needs.
pub(super) struct RestSource<P: Runtime> {
    pub(super) upstream: Rc<Upstream<P>>,
    pub(super) server: ServerId,
    pub(super) connection: Connection<P>,
    /// Whether the server accepts new requests according to the endpoint list, which updates this cell.
    pub(super) server_ready: Rc<Cell<bool>>,
    /// Whether the head says that the server closes the connection after the response.
    pub(super) closes_connection: bool,
    /// The time at which the response is lost, or `None` without such a time.
    pub(super) cutoff: Option<Instant>,
}

impl<P: Runtime> RestSource<P> {
    /// Returns a check of whether the response has ended, or `None` if its end is explicit.
    fn check_end(self) -> Option<EndOfRest> {
        let facts = self.connection.length_facts(self.closes_connection)?;
        let proof = LengthFacts { in_pieces: true, ..facts }.missing_proof()?;
        let now = P::now();
        let due = self.cutoff.map(|cutoff| cutoff - DELIVERY_MARGIN).filter(|&due| due > now);
        let is_server_ready = self.server_ready.get();
        let check = EndCheck { server: self.server, proof, is_server_ready, due };
        let RestSource { upstream, connection, .. } = self;
        Some(Box::pin(async move {
            let state = upstream.clone().check_end(connection, check).await;
            upstream.status.events.record_end_check(state);
            state
        }))
    }
}

/// A check of whether a response has ended.
type EndOfRest = Pin<Box<dyn Future<Output = EndState>>>;

/// How far the rest of a response has come.
enum Progress<P: Runtime> {
    /// It is being received.
    Receiving(RestSource<P>),
    /// Its last bytes are held back until it is known that nothing follows them.
    CheckingEnd { check: EndOfRest, last: Frame<Bytes> },
    /// It has ended.
    Ended,
}

/// The rest of a response that is forwarded as it is received. Its connection is not used further by the attempt.
pub(super) struct StreamedRest<P: Runtime> {
    body: MinRateBody<P>,
    pace: Rc<ResponsePace>,
    progress: Progress<P>,
}

// No field is pinned structurally.
impl<P: Runtime> Unpin for StreamedRest<P> {}

impl<P: Runtime> StreamedRest<P> {
    pub(super) fn new(
        body: MinRateBody<P>,
        pace: Rc<ResponsePace>,
        source: RestSource<P>,
    ) -> StreamedRest<P> {
        StreamedRest { body, pace, progress: Progress::Receiving(source) }
    }

    /// Polls for the next bytes of the body.
    fn poll_received(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(data)) = frame.as_ref().map(|frame| frame.as_ref().map(Frame::data_ref)) {
            self.pace.record(P::now(), data.map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    /// Handles the last bytes of the body, or its end if it had none.
    fn end(
        &mut self,
        last: Option<Frame<Bytes>>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Progress::Receiving(source) = std::mem::replace(&mut self.progress, Progress::Ended)
        else {
            return Poll::Ready(None);
        };
        if source.connection.observer.may_be_cut_short() {
            // Without its last bytes, the client can tell that the response is not whole.
            return Poll::Ready(Some(Err(BodyError::SurplusBytes)));
        }
        let Some(last) = last else {
            source.connection.close(CloseReason::Streamed);
            return Poll::Ready(None);
        };
        match source.check_end() {
            None => Poll::Ready(Some(Ok(last))),
            Some(check) => {
                self.progress = Progress::CheckingEnd { check, last };
                self.poll_check(cx)
            }
        }
    }

    /// Polls the check of the end, and passes on the last bytes if nothing follows them.
    fn poll_check(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Progress::CheckingEnd { check, .. } = &mut self.progress else {
            return Poll::Ready(None);
        };
        let state = ready!(check.as_mut().poll(cx));
        let Progress::CheckingEnd { last, .. } =
            std::mem::replace(&mut self.progress, Progress::Ended)
        else {
            return Poll::Ready(None);
        };
        Poll::Ready(Some(match state {
            EndState::Surplus => Err(BodyError::SurplusBytes),
            EndState::Whole | EndState::Unknown => Ok(last),
        }))
    }
}

impl<P: Runtime> Body for StreamedRest<P> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &self.progress {
            Progress::Receiving(_) => {}
            Progress::CheckingEnd { .. } => return self.poll_check(cx),
            Progress::Ended => return Poll::Ready(None),
        }
        match ready!(self.poll_received(cx)) {
            Some(Ok(frame)) if self.body.is_end_stream() => self.end(Some(frame), cx),
            None => self.end(None, cx),
            frame => Poll::Ready(frame),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.progress, Progress::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.progress {
            Progress::Receiving(_) => self.body.size_hint(),
            Progress::CheckingEnd { last, .. } => {
                SizeHint::with_exact(last.data_ref().map_or(0, Bytes::len) as u64)
            }
            Progress::Ended => SizeHint::with_exact(0),
        }
    }
}
