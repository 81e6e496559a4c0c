//! A simulated system for network code: a virtual clock, tasks in an order that a seed gives, and an
//! in-memory network with latency, small windows, broken writes, cuts, resets and dead hosts.
//!
//! A [`World`] is one thread's. Inside it [`Sim`] is the [`runtime::Platform`]. The same seed gives
//! the same run to the byte: [`World::hash`] is over everything that happened. Nothing here reads a
//! clock, the environment or a random number that the seed does not give.
//!
//! What is modelled of TCP: order within a connection, a window of bytes that the peer has not read,
//! segments that part anywhere, FIN, RST (which may overtake bytes under way), a close with unread
//! bytes that resets, refused and unanswered SYNs, bounded backlogs, retransmission after loss or a
//! cut, connections that fall silent. Not modelled: congestion control, keep-alive, path MTU.

mod exec;
mod fabric;
mod net;
mod state;
mod trace;

pub use exec::{Sim, Sleep, TaskId, World};
pub use fabric::{Death, HostId, Link, Stats, Tap, TapEvent};
pub use net::{SimListener, SimTcp, SimUdp};
pub use state::Options;
