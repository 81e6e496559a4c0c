//! What a sidecar reports of itself, and how: datagrams as in sd_notify(3).
//!
//! Beside systemd's own fields (`READY`, `STOPPING`, `WATCHDOG`, `MAINPID`) a datagram carries the
//! status of the sidecar as `X_STATE`, one line of JSON. systemd ignores fields that it does not know.

mod status;
mod supervisor;

pub use status::{InstanceStatus, RejectedConfig, RequestCounts};
pub use supervisor::SupervisorSocket;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
