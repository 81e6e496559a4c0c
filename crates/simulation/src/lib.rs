//! Deterministic simulation: real sidecars (all of their network code and decisions) among simulated
//! clients, log servers and discovery, on a virtual clock and network, under faults from a seed. The
//! rules are checked after every step by an oracle that sees only what passes on the wire.
//!
//! `docs/design/simulation.md` tells why it is as it is, `docs/operate/simulation.md` how to use it.

mod client;
pub mod coverage;
mod discovery;
mod model;
mod operators;
mod oracle;
pub mod run;
pub mod scenario;
mod server;
pub mod shrink;
mod wire;
