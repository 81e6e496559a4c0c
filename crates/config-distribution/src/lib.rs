//! Distribution of sidecar configuration from operators to all sidecars, with progress reports on where it is applied.
//!
//! An *origin* orders changes. Each *control server* holds a replica. A change is committed once a quorum of the
//! control servers has it on disk, and only then sent to *hosts*, which apply it and confirm it with their next watch
//! request. Origins and control servers are watched alike: a request names a version and is held as a long poll, and
//! the response contains the changes since that version, or a snapshot.
//!
//! `documents`, `replica`, `origin`, `control`, `progress` and `host` make all decisions. They do no I/O, and read no
//! clock: the time is passed in as a `Duration` since an arbitrary fixed start. `replication` and `watch` contain the
//! messages. `net` contains sockets, files and processes. `docs/design/distribution.md` explains the design.

pub mod control;
mod document_set;
pub mod documents;
pub mod host;
pub mod net;
pub mod origin;
pub mod progress;
pub mod replica;
pub mod replication;
pub mod watch;

use std::time::Duration;

/// The number of a change, over all epochs. A higher one is newer.
pub type Generation = u64;

/// The number of a term in which one origin is followed. The lower 32 bits hold the origin's number and the id of its
/// start, so that no two origins or starts share an epoch.
pub type Epoch = u64;

/// The number of a control server's disk. It increases each time that the server loses its disk.
pub type Incarnation = u64;

/// Maximum time for which a request is held.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// Returns the size of a quorum of `members`: more than half of them.
pub(crate) fn quorum(members: usize) -> usize {
    members / 2 + 1
}
