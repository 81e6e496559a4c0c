//! Calls of discovery that are waited for, and the order in which they began.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::client::{CallError, ListResponse};
use super::progress::Progress;

/// The number of a call; later calls have higher ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(u64);

/// When a call began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOrder {
    /// After the list in force had arrived: what it brings is as new.
    AfterList,
    /// Before that: what it brings may be older.
    BesideList,
}

/// Numbers calls, and tells which began after the list in force had arrived. Times would not tell: two calls may
/// begin at the same one.
#[derive(Debug, Default)]
pub(super) struct CallNumbers {
    last: CallId,
    last_before_list: CallId,
}

impl CallNumbers {
    /// The number of a call that begins now.
    pub(super) fn next(&mut self) -> CallId {
        self.last = CallId(self.last.0 + 1);
        self.last
    }

    /// Notes that a list is in force from now on.
    pub(super) fn list_applied(&mut self) {
        self.last_before_list = self.last;
    }

    /// When a call began.
    pub(super) fn order(&self, id: CallId) -> CallOrder {
        if id > self.last_before_list { CallOrder::AfterList } else { CallOrder::BesideList }
    }
}

/// What a call came to.
pub(super) type CallResult<P> = Result<ListResponse<P>, CallError>;

/// A call in flight.
pub(super) struct ListCall<P: Runtime> {
    pub(super) progress: Progress,
    pub(super) result: Pin<Box<dyn Future<Output = CallResult<P>>>>,
}

/// The calls that are waited for, in the order in which they began.
pub(super) struct CallsInFlight<P: Runtime> {
    calls: Vec<(CallId, ListCall<P>)>,
}

impl<P: Runtime> CallsInFlight<P> {
    /// None.
    pub(super) fn new() -> CallsInFlight<P> {
        CallsInFlight { calls: Vec::new() }
    }

    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds one that begins now.
    pub(super) fn push(&mut self, id: CallId, call: ListCall<P>) {
        self.calls.push((id, call));
    }

    /// Gives one up.
    pub(super) fn remove(&mut self, id: CallId) {
        self.calls.retain(|(call, _)| *call != id);
    }

    /// Gives up those that began before `id`; how many there were.
    pub(super) fn remove_before(&mut self, id: CallId) -> usize {
        let before = self.calls.len();
        self.calls.retain(|(call, _)| *call >= id);
        before - self.calls.len()
    }

    /// The one that began first.
    pub(super) fn oldest(&self) -> Option<CallId> {
        self.calls.first().map(|(id, _)| *id)
    }

    /// When a part of a call's response last arrived.
    pub(super) fn last_progress(&self, id: CallId) -> Option<Instant> {
        let call = self.calls.iter().find(|(call, _)| *call == id);
        call.and_then(|(_, call)| call.progress.last())
    }

    /// Whether a part of a call's response has arrived within the last `span`.
    pub(super) fn is_receiving(&self, id: CallId, now: Instant, span: Duration) -> bool {
        self.last_progress(id).is_some_and(|last| now < last + span)
    }

    /// How many responses of which parts have arrived within the last `span`.
    pub(super) fn receiving(&self, now: Instant, span: Duration) -> usize {
        self.calls.iter().filter(|(id, _)| self.is_receiving(*id, now, span)).count()
    }

    /// Waits for a call to end; for ever, if there is none.
    pub(super) async fn next(&mut self) -> (CallId, CallResult<P>) {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Of several calls that have ended, the newest has the newest list.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<(CallId, CallResult<P>)> {
        for index in (0..self.calls.len()).rev() {
            let (id, call) = &mut self.calls[index];
            if let Poll::Ready(result) = call.result.as_mut().poll(context) {
                let id = *id;
                drop(self.calls.remove(index));
                return Poll::Ready((id, result));
            }
        }
        Poll::Pending
    }
}
