//! The way of a change of configuration from a desk to all sidecars, and the count of those where it is in force.
//!
//! An *origin* orders changes. *Control machines* each keep a replica; a change is committed once most of them have
//! it on disk, and only then told to *hosts*, which put it in force and say so with their next call. All ways are
//! the watch of the protocol page: a version, a hold, then changes or the whole.
//!
//! `documents`, `replica`, `origin`, `control`, `tally` and `host` decide: no I/O, and no clock but the one passed in.
//! `net` owns sockets, files and processes. `docs/design/distribution.md` tells why it is as it is.

pub mod control;
pub mod documents;
pub mod host;
pub mod net;
pub mod origin;
pub mod replica;
pub mod tally;

/// Milliseconds, on a clock that starts anywhere and never runs backwards.
pub type Millis = u64;

/// Numbers the changes, over all epochs: what has a higher one is newer.
pub type Generation = u64;

/// Numbers the spans in which one origin is followed. The last 32 bits are the origin's own number and its start's, so
/// that no two of them have the same.
pub type Epoch = u64;

/// The longest a held call may be held.
pub const LONGEST_HOLD: Millis = 60_000;
