//! A fleet of sidecars on one host: what is desired, what is there, and what to do about it.

pub mod control;
pub mod daemon;
pub mod holder;
pub mod paths;
pub mod planner;
pub mod process;
pub mod spec;
pub mod stall;
pub mod state;

pub use state::replace;
