//! Deterministic simulation: real sidecars (all of their network code and decisions) among simulated
//! clients, log servers and discovery, on a virtual clock and network, under faults from a seed. An oracle
//! that sees only what passes on the network checks the rules after every step.
//!
//! `docs/design/simulation.md` explains the design, `docs/operate/simulation.md` the tool.

mod clients;
pub mod coverage;
mod discovery;
mod http_framing;
mod model;
mod operators;
mod oracle;
pub mod run;
pub mod scenario;
pub mod seeds;
mod server;
pub mod shrink;

pub use oracle::{Counts, Rule, Served, Violation};
