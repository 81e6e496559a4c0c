//! Messages between hosts and control servers.

use serde::{Deserialize, Serialize};

use crate::Generation;
use crate::documents::{Document, Interest};

/// Maximum number of services that one host may subscribe to.
pub const MAX_SERVICES: usize = 64;

/// A failure of a host to apply a configuration that it has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyFailure {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The reason, for operators.
    pub reason: String,
}

/// A host's request for the documents that it subscribes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchRequest {
    /// The host's name.
    pub host: String,
    /// The documents that the host subscribes to.
    pub interest: Interest,
    /// The last generation that the host has received.
    pub since: Generation,
    /// The generation that the host has applied.
    pub applied: Generation,
    /// The failure to apply the last received configuration; `None` if it did not fail.
    pub failure: Option<ApplyFailure>,
}

/// The response to a watch request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// The generation of the host's configuration once the response is applied.
    #[serde(rename = "seq")]
    pub generation: Generation,
    /// Whether `documents` contains all documents that the host subscribes to.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// All documents for the host, or those that have changed since the request's `since`.
    pub documents: Vec<Document>,
}

/// The state of a long poll, which decides whether an empty response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPoll {
    /// The request may be held until there is a change.
    Waiting,
    /// The hold has ended, so a response has to be sent now.
    Expired,
}

/// The reason why a control server rejects a watch request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejected {
    /// The server recovers from the loss of its disk and has no documents yet.
    #[error("nothing is known here yet")]
    Recovering,
    /// The server has reached its maximum number of hosts.
    #[error("{hosts} hosts are here, the most that may be")]
    Full {
        /// The number of hosts.
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
    /// Returns whether another control server may accept the same request.
    pub fn is_retryable(&self) -> bool {
        matches!(self, Rejected::Recovering | Rejected::Full { .. })
    }
}
