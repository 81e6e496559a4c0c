//! Messages between operators and origins.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::documents::DocumentBody;
use crate::progress::TotalProgress;
use crate::{Epoch, Generation};

/// An operator's request to publish or withdraw a document.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishRequest {
    /// The document's key: `SERVICE`, `SERVICE@ZONE` or `*`.
    pub key: String,
    /// The document's content; `None` withdraws it.
    pub body: Option<DocumentBody>,
}

/// The response to a change, sent once it is committed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishResponse {
    /// The change's number.
    pub generation: Generation,
}

/// The status of an origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OriginStatus {
    /// The origin's epoch; 0 if it has none yet.
    pub epoch: Epoch,
    /// Whether the origin leads and orders changes.
    pub leading: bool,
    /// The origin's phase, as text.
    pub phase: String,
    /// The last change in the origin's replica.
    pub generation: Generation,
    /// The last committed change.
    pub committed: Generation,
    /// The total size of all bodies, in bytes.
    #[serde(rename = "bytes")]
    pub body_bytes: usize,
    /// The control servers by name; `None` for a server that is absent.
    pub members: BTreeMap<String, Option<MemberStatus>>,
    /// Progress of the hosts of all control servers.
    pub total: TotalProgress,
}

/// The state of a control server, as given in its last request to the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberStatus {
    /// The highest epoch that the server has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The last change that the server has on disk.
    #[serde(rename = "at")]
    pub generation: Generation,
    /// The last change that the server knows to be committed.
    pub committed: Generation,
    /// Whether the server recovers from the loss of its disk.
    pub recovering: bool,
}

/// An entry in the list of documents.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DocumentSummary {
    /// The document's key.
    pub key: String,
    /// The change that wrote the document's latest revision.
    pub generation: Generation,
    /// The size of the document's body, in bytes.
    #[serde(rename = "bytes")]
    pub body_bytes: usize,
}
