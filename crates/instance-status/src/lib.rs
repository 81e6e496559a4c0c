//! The status reports of a sidecar, sent as datagrams of the sd_notify(3) protocol.
//!
//! Beside the fields of systemd (`READY`, `STOPPING`, `WATCHDOG`, `MAINPID`) a datagram carries the status
//! of the sidecar as one line of JSON in the field `X_STATE`. systemd ignores unknown fields.

mod status;
mod supervisor;

pub use status::{InstanceStatus, RejectedConfig, RequestCounts};
pub use supervisor::SupervisorSocket;

/// The length limit of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;
