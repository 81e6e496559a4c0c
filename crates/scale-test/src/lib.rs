//! Scale tests: thousands of sidecars and their control plane on one machine.
//!
//! A *hollow* sidecar runs the control plane part of the real sidecar over real loopback sockets: it watches discovery,
//! applies configurations, gossips with its peers and reports its status. It serves no requests. Hundreds of hollow
//! sidecars share a process. Some real sidecars run beside them.
//!
//! - [`plan`] parses and checks plan files, and [`regression`] fits lines; neither does I/O.
//! - [`hollow`] runs a process of hollow sidecars.
//! - [`runner`] runs a plan, and [`report`] has the results.

pub mod hollow;
pub mod plan;
pub mod regression;
pub mod report;
pub mod runner;

mod cluster;
mod error;
mod measurement;
mod process;
