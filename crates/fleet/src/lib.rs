//! The fleet daemon, which keeps the sidecars of one host in their desired state. It compares the
//! desired state with the running processes and starts, reloads, replaces and ends processes until
//! both agree.

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
