//! Deterministic simulation of the load balancer. Real sidecars, with all of their network code and decisions, run
//! among simulated clients, log servers and discovery, on a virtual clock and network, under faults drawn from a
//! seed. An oracle that sees only the network traffic and the reports of clients and servers checks the rules after
//! every step.
//!
//! `docs/design/simulation.md` explains the design, `docs/operate/simulation.md` the tool.

mod clients;
pub mod coverage;
mod discovery;
mod model;
mod operators;
mod oracle;
pub mod run;
pub mod scenario;
pub mod seeds;
mod server;
pub mod shrink;

pub use oracle::{Counts, Rule, Served, Violation};
