//! Messages between control servers and origins, and among control servers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::replica::{Update, Version};
use crate::{Epoch, Generation, Incarnation};

/// What a control server tells an origin when it asks for changes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LogRequest {
    /// The control server's name.
    pub member: String,
    /// The highest epoch that it has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The last change that it has on disk.
    #[serde(rename = "at")]
    pub version: Version,
    /// The last change that it knows to be committed.
    pub committed: Generation,
    /// Whether it has lost its disk, and may have promised and accepted what it does not know.
    pub recovering: bool,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The incarnations of other members, as far as it knows them.
    #[serde(rename = "lives")]
    pub peer_incarnations: BTreeMap<String, Incarnation>,
}

/// What an origin answers to a control server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LogResponse {
    /// The epoch that is to be promised; 0: none yet.
    pub epoch: Epoch,
    /// Changes, once the origin leads.
    pub update: Option<Update>,
}

/// What a control server answers to a peer that has lost its disk.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PromiseResponse {
    /// The highest epoch that the answering server has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The peer's incarnation, as far as the answering server knows it.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// All incarnations that the answering server knows, its own among them.
    #[serde(rename = "lives")]
    pub incarnations: BTreeMap<String, Incarnation>,
}
