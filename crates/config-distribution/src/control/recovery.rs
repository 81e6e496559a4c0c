//! Recovery of a control server that has lost its disk.

use std::collections::BTreeMap;

use crate::Epoch;

/// The promises that a control server has collected from its peers since it lost its disk.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// The promised epochs of the peers that know this server's new incarnation, by name.
    promises: BTreeMap<String, Epoch>,
    /// The lowest epoch of an origin that can bring this server up to date; `None` until a quorum has answered.
    required_epoch: Option<Epoch>,
}

impl Recovery {
    /// Discards the promises, because they were given to an incarnation that was already in use.
    pub(super) fn restart(&mut self) {
        self.promises.clear();
    }

    /// Records a peer's promise. Returns the required epoch if this promise completes the quorum.
    pub(super) fn record(&mut self, member: &str, epoch: Epoch, quorum: usize) -> Option<Epoch> {
        self.promises.insert(member.to_owned(), epoch);
        if self.required_epoch.is_some() || self.promises.len() < quorum {
            return None;
        }
        self.required_epoch = self.promises.values().copied().max();
        self.required_epoch
    }

    /// Returns whether a quorum has answered, so that the required epoch is known.
    pub(super) fn knows_epoch(&self) -> bool {
        self.required_epoch.is_some()
    }

    /// Returns whether an up-to-date replica of this epoch completes the recovery.
    pub(super) fn is_complete_with(&self, epoch: Epoch) -> bool {
        epoch > 0 && self.required_epoch.is_some_and(|required| epoch >= required)
    }
}
