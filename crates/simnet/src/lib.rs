//! A deterministic simulation of a system for network code: a virtual clock, tasks whose order depends on a
//! seed, and an in-memory network with latency, small windows, partial reads and writes, partitions, resets
//! and unreachable hosts.
//!
//! A [`World`] belongs to one thread. Inside it, [`SimRuntime`] implements [`runtime::Runtime`]. Runs with
//! the same seed are identical to the byte; [`World::hash`] covers all network events. The simulation
//! depends on no real clock, on no environment and on no random numbers but those of the seed.
//!
//! The model of TCP has order within a connection, a window of bytes that the peer has not read, segments
//! that are split anywhere, FIN, RST (which may overtake bytes in flight), the reset after a close with
//! unread bytes, refused and unanswered SYNs, bounded backlogs, retransmission after loss or a partition,
//! and blackholed connections. It has no congestion control, keep-alive or path MTU.

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
