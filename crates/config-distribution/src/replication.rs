//! Messages between control servers and origins, and among control servers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::replica::{Update, Version};
use crate::{Epoch, Generation, Incarnation};

/// A control server's request for changes. It also acknowledges the changes that the server has on disk.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LogRequest {
    /// The control server's name.
    pub member: String,
    /// The highest epoch that the server has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The last change that the server has on disk.
    #[serde(rename = "at")]
    pub version: Version,
    /// The last change that the server knows to be committed.
    pub committed: Generation,
    /// Whether the server recovers from the loss of its disk, and may have given promises and acknowledgements that it
    /// no longer knows.
    pub recovering: bool,
    /// The server's incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The known incarnations of other members, by name.
    #[serde(rename = "lives")]
    pub peer_incarnations: BTreeMap<String, Incarnation>,
}

/// An origin's response to a [`LogRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LogResponse {
    /// The epoch that the control server is asked to promise; 0 if the origin has none yet.
    pub epoch: Epoch,
    /// The changes since the request's version; `None` unless the origin leads and has any.
    pub update: Option<Update>,
}

/// A control server's response to a peer that has lost its disk.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PromiseResponse {
    /// The highest epoch that the responding server has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The peer's incarnation as the responding server knows it.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// All incarnations that the responding server knows, its own included, by name.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<String, Incarnation>,
}
