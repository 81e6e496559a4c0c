//! Distribution of sidecar configuration: from an operator to all sidecars, with a count of where it is applied.
//!
//! An *origin* orders changes. *Control servers* each hold a replica; a change is committed once a quorum of them has
//! it on disk, and only then sent to *hosts*, which apply it and confirm that with their next watch request. Every
//! connection is a watch as the protocol page has it: a version, a long poll, then changes or a snapshot.
//!
//! `documents`, `replica`, `origin`, `control`, `progress` and `host` decide: they do no I/O, and know no clock but the
//! time that is passed in, a `Duration` since any fixed start. `replication` and `watch` hold the messages. `net` owns
//! sockets, files and processes. `docs/design/distribution.md` gives the reasons.

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

/// The number of a term in which one origin is followed. The last 32 bits hold the origin's own number and the number
/// of its start, so that no two origins or starts share an epoch.
pub type Epoch = u64;

/// The number of a control server's disk: it rises with each one that is lost.
pub type Incarnation = u64;

/// The longest long poll that is granted.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// How many of `members` are a quorum: more than half.
pub(crate) fn quorum(members: usize) -> usize {
    members / 2 + 1
}
