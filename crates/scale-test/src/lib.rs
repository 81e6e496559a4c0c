//! Scale tests: thousands of sidecars and their control plane on one machine.
//!
//! A *hollow* sidecar does everything that concerns the control plane, with the project's own code over real loopback
//! sockets: it watches discovery, applies configurations, gossips with its peers and reports its status. It serves no
//! requests. Hundreds of them share a process. Real sidecars run among them.
//!
//! - [`plan`] is the file of a run, checked, and [`regression`] fits lines; neither does I/O.
//! - [`hollow`] is a process of hollow sidecars.
//! - [`runner`] plays a plan, and [`report`] is what it measures.

pub mod hollow;
pub mod plan;
pub mod regression;
pub mod report;
pub mod runner;

mod cluster;
mod error;
mod measurement;
mod process;
