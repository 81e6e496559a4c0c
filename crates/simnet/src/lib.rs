//! A simulated system for network code: a virtual clock, tasks that run in an order given by a seed, and
//! an in-memory network with latency, small windows, partial reads and writes, partitions, resets and
//! lost hosts.
//!
//! A [`World`] belongs to one thread. Inside it, [`SimRuntime`] is the [`runtime::Runtime`]. The same
//! seed gives the same run to the byte: [`World::hash`] covers everything that happened. Nothing here
//! reads a clock, the environment or a random number that does not come from the seed.
//!
//! What is modelled of TCP: order within a connection, a window of bytes that the peer has not read,
//! segments that are split anywhere, FIN, RST (which may overtake bytes in flight), a close with unread
//! bytes that resets, refused and unanswered SYNs, bounded backlogs, retransmission after loss or a
//! partition, and connections that fall silent. Not modelled: congestion control, keep-alive, path MTU.

mod connection;
mod delivery;
mod executor;
mod hold_up;
mod host;
mod link;
mod listener;
mod network;
mod network_event;
mod options;
mod sim_runtime;
mod state;
mod tap;
mod task;
mod tcp;
mod trace;
mod udp;
mod world;

pub use connection::ConnectionId;
pub use host::{HostFailure, HostId};
pub use link::Link;
pub use listener::SimListener;
pub use network::NetworkStats;
pub use options::Options;
pub use sim_runtime::{SimRuntime, Sleep};
pub use tap::{Tap, TapEvent};
pub use task::TaskId;
pub use tcp::SimTcp;
pub use udp::SimUdp;
pub use world::World;
