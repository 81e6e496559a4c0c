//! Messages between hosts and control servers.

use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::documents::{Document, Interest};

/// The most services that one host may subscribe to.
pub const MAX_SERVICES: usize = 64;

/// A configuration that a host has received and not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyFailure {
    /// The configuration's number.
    pub generation: Generation,
    /// The reason, for the operator.
    pub reason: String,
}

/// A host's request for the documents that it subscribes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchRequest {
    /// The host's name.
    pub host: String,
    /// What it subscribes to.
    pub interest: Interest,
    /// The generation that it received last.
    pub since: Generation,
    /// The generation that is applied there.
    pub applied: Generation,
    /// The generation that it could not apply, if it is the last one received.
    pub failure: Option<ApplyFailure>,
}

/// The answer to a watch request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// The generation that the host is up to date with afterwards.
    #[serde(rename = "seq")]
    pub generation: Generation,
    /// Whether `documents` are all that the host subscribes to.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The documents.
    pub documents: Vec<Document>,
}

/// Whether an answer has to be given now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPoll {
    /// The host can go on waiting.
    Waiting,
    /// The time for which the host waits is over.
    Expired,
}

/// Why a control server rejects a watch request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejected {
    /// The server has lost its disk and does not know any document yet.
    #[error("nothing is known here yet")]
    Recovering,
    /// The server has all the hosts that it has memory for.
    #[error("{hosts} hosts are here, the most that may be")]
    Full {
        /// How many that are.
        hosts: usize,
    },
    /// The host's name is not valid.
    #[error("host: a name expected, not {host:?}")]
    InvalidHost {
        /// The name.
        host: String,
    },
    /// The host subscribes to more than [`MAX_SERVICES`] services.
    #[error("service: {MAX_SERVICES} at most expected")]
    TooManyServices,
}

impl Rejected {
    /// Whether another control server may accept the same request.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Rejected::Recovering | Rejected::Full { .. })
    }
}
