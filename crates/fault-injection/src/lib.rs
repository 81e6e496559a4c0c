//! Fault injection: many real sidecars on loopback, with faults between them.
//!
//! Each sidecar is a process of the real program. Log servers, discovery and clients are fakes. Every link between
//! two nodes goes through a relay that can delay, lose, duplicate, corrupt or block its traffic. A scenario file
//! says which nodes there are, what load they get, which faults happen when, and what must hold.
//!
//! - [`scenario`], [`links`] and [`expectations`] compute, without I/O.
//! - [`drain_watch`] judges what sidecars send to servers that drain.
//! - [`network`], [`gossip_relay`], [`relay`] and [`processes`] are the parts of a testbed.
//! - [`soak`] draws scenarios with overlapping faults from a seed, and judges them by the protocol's rules.
//! - [`testbed`] puts these together, [`runner`] plays a scenario on it, [`html_report`] shows the outcome.

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
