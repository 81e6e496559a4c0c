//! Fault injection for many real sidecars on loopback.
//!
//! Each sidecar is a process of the real program. Log servers, discovery and clients are fakes. Every link between
//! two nodes goes through a relay that can delay, lose, duplicate, corrupt or block its traffic. A scenario file
//! defines the nodes, their load, the faults with their times, and the expectations.
//!
//! - [`scenario`], [`links`] and [`expectations`] are pure computation without I/O.
//! - [`drain_watch`] checks that sidecars send no new requests to draining servers.
//! - [`network`], [`gossip_relay`], [`relay`] and [`processes`] are the parts of a testbed.
//! - [`soak`] generates scenarios with overlapping faults from a seed, and checks the runs against the protocol's
//!   rules.
//! - [`testbed`] combines these, [`runner`] runs a scenario on it, and [`html_report`] renders the outcome.

pub mod drain_watch;
pub mod expectations;
pub mod gossip_relay;
pub mod html_report;
pub mod links;
pub mod network;
pub mod processes;
pub mod relay;
pub mod runner;
pub mod sample;
pub mod scenario;
pub mod soak;
pub mod testbed;
