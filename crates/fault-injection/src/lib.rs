//! Many real sidecars on loopback, and faults between them: the sidecars are the program itself, each a process
//! of its own; log servers, discovery and clients are stand-ins; every way between two of them goes through a
//! relay that can delay, lose, double, spoil or hold what passes. A trial is a file that says who is there, what
//! is asked, what goes wrong when, and what must hold.
//!
//! `scenario`, `links` and `expectations` decide and do no I/O; `network`, `notes`, `relay` and `processes` do
//! what they are told; `ground` puts them together, `play` plays a file on it, `page` shows what came of it.

pub mod expectations;
pub mod ground;
pub mod links;
pub mod network;
pub mod notes;
pub mod page;
pub mod play;
pub mod processes;
pub mod relay;
pub mod scenario;
