//! Sockets, files and processes of the roles. Nothing is decided here.

pub mod control;
pub mod host;
pub mod http;
pub mod origin;
pub mod place;
pub mod store;

use std::time::{Duration, Instant};

use crate::Millis;

/// A clock of milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Clock {
        Clock(Instant::now())
    }
}

impl Clock {
    /// Milliseconds since it began.
    pub fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }

    /// Waits until then.
    pub async fn until(&self, at: Millis) {
        tokio::time::sleep_until((self.0 + Duration::from_millis(at)).into()).await;
    }
}
