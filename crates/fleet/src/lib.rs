//! A daemon that keeps the sidecars of one host in their desired state: the desired state, what is
//! observed, and the decisions that bring one to the other.

mod atomic_file;
mod check;
pub mod control;
pub mod daemon;
pub mod paths;
pub mod planner;
pub mod process;
pub mod socket_holder;
pub mod spec;
pub mod stall;
pub mod state;
pub mod state_directory;

pub use atomic_file::write_atomically;
pub use check::CheckError;
