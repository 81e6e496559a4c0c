//! Recovery of a control server that has lost its disk.

use std::collections::BTreeMap;

use crate::Epoch;

/// What a control server that has lost its disk has learned from its peers.
#[derive(Debug, Default)]
pub(super) struct Recovery {
    /// The promises of the peers that know the new incarnation.
    promises: BTreeMap<String, Epoch>,
    /// The lowest epoch of an origin that can bring this server up to date, once a quorum has answered.
    required_epoch: Option<Epoch>,
}

impl Recovery {
    /// Forgets the promises: they were given to an incarnation that is not new.
    pub(super) fn restart(&mut self) {
        self.promises.clear();
    }

    /// Records a peer's promise. Returns the required epoch where this promise completes the quorum.
    pub(super) fn record(&mut self, member: &str, epoch: Epoch, quorum: usize) -> Option<Epoch> {
        self.promises.insert(member.to_owned(), epoch);
        if self.required_epoch.is_some() || self.promises.len() < quorum {
            return None;
        }
        self.required_epoch = self.promises.values().copied().max();
        self.required_epoch
    }

    /// Whether a quorum has answered.
    pub(super) fn knows_epoch(&self) -> bool {
        self.required_epoch.is_some()
    }

    /// Whether an up-to-date replica of this epoch ends the recovery.
    pub(super) fn is_complete_with(&self, epoch: Epoch) -> bool {
        epoch > 0 && self.required_epoch.is_some_and(|required| epoch >= required)
    }
}
