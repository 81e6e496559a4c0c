//! What is told about the response of an attempt while it is being received, and the request to pass it on.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::Notify;

use crate::api::ResponseProgress;

/// The response of an attempt while it is being received, shared by the exchange that receives it and the task that
/// reports to the balancer.
#[derive(Debug, Default)]
pub struct ResponseArrival {
    begun_at: Cell<Option<Instant>>,
    progress: Cell<Option<ResponseProgress>>,
    changed: Notify,
    is_due: Cell<bool>,
    due: Notify,
}

impl ResponseArrival {
    /// Records that the head of a response that can serve the request has come, and that its body is being read.
    pub(super) fn begin(&self, now: Instant) {
        self.begun_at.set(Some(now));
        self.report(ResponseProgress::Begun);
    }

    /// Records that a response has begun that cannot serve the request, or is not read any more.
    pub(super) fn reset(&self) {
        self.begun_at.set(None);
    }

    /// Records that the response pauses, or goes on.
    pub(super) fn report(&self, progress: ResponseProgress) {
        self.progress.set(Some(progress));
        self.changed.notify_one();
    }

    /// Returns when the response began, or `None` if there is none that can be passed on.
    pub fn begun_at(&self) -> Option<Instant> {
        self.begun_at.get()
    }

    /// Waits for a change of the progress, and returns it. Supports one caller at a time.
    pub async fn changed(&self) -> ResponseProgress {
        loop {
            self.changed.notified().await;
            if let Some(progress) = self.progress.take() {
                return progress;
            }
        }
    }

    /// Asks for the response to be passed on as far as it has come, as its client's time is over. Returns whether this is
    /// the first time.
    pub fn request_delivery(&self) -> bool {
        self.due.notify_one();
        !self.is_due.replace(true)
    }

    /// Returns whether the response is to be passed on as far as it has come.
    pub(super) fn is_due(&self) -> bool {
        self.is_due.get()
    }

    /// Completes when the response is to be passed on as far as it has come. Supports one caller at a time.
    pub(super) async fn due(&self) {
        while !self.is_due.get() {
            self.due.notified().await;
        }
    }
}
