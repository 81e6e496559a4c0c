//! A host on loopback sockets, for tests, the demonstration and measurements.
//!
//! The daemon and its sidecars are the real programs. The log servers of three zones, discovery and the clients are
//! fakes. The [account](fakes::account::Account) records the outcome of every request.

mod host;
mod load;
mod plan;
mod process;

pub use host::{Host, HostError, Instance};
pub use load::RunningLoad;
pub use plan::Plan;
pub use process::{Usage, process_usage, signal_process};
