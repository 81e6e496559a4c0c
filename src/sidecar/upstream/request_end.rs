//! The end of a request, after which nothing of it is sent.

use std::cell::Cell;

use tokio::sync::Notify;

/// The end of a request: it has its final response, or nobody waits for one any more.
///
/// Nothing of the request is sent from then on, also where the settings do not allow attempts to be cancelled.
#[derive(Debug, Default)]
pub struct RequestEnd {
    has_ended: Cell<bool>,
    ended: Notify,
}

impl RequestEnd {
    /// Ends the request.
    pub fn set(&self) {
        self.has_ended.set(true);
        self.ended.notify_waiters();
    }

    /// Returns whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Waits for the end of the request.
    pub async fn ended(&self) {
        let ended = self.ended.notified();
        if !self.has_ended() {
            ended.await;
        }
    }
}
