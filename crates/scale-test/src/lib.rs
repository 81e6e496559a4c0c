//! Scale runs. A *hollow* sidecar does what a sidecar does for control (it watches discovery, takes configurations
//! over, is a member of its tier, sends notes and reports) with the project's own code over real loopback sockets,
//! and carries no calls. Hundreds share a process. Real processes of the program run among them.
//!
//! `plan` is the file of a run, checked; `figures` fits slopes; neither does I/O. `hollow` is a process of hollow
//! sidecars, `run` plays a plan.

pub mod figures;
pub mod hollow;
pub mod plan;
pub mod run;
