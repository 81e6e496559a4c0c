//! Messages between operators and the origin.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::documents::DocumentBody;
use crate::progress::TotalProgress;
use crate::{Epoch, Generation};

/// A change that an operator orders.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishRequest {
    /// The document's key: `SERVICE`, `SERVICE@ZONE` or `*`.
    pub key: String,
    /// The document's content; `None` withdraws it.
    pub body: Option<DocumentBody>,
}

/// The answer to a change that is committed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PublishResponse {
    /// The change's number.
    pub generation: Generation,
}

/// The state of an origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OriginStatus {
    /// Its epoch; 0: none yet.
    pub epoch: Epoch,
    /// Whether it orders changes.
    pub leading: bool,
    /// Its phase, as text.
    pub phase: String,
    /// The last change that it has ordered.
    pub generation: Generation,
    /// The last committed change.
    pub committed: Generation,
    /// The size of all bodies, in bytes.
    #[serde(rename = "bytes")]
    pub body_bytes: usize,
    /// The control servers; `None` for those that are absent.
    pub members: BTreeMap<String, Option<MemberStatus>>,
    /// On how many hosts what is applied.
    pub total: TotalProgress,
}

/// The last request of a control server to the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberStatus {
    /// The highest epoch that it has promised to follow.
    #[serde(rename = "promised")]
    pub promised_epoch: Epoch,
    /// The last change that it has.
    #[serde(rename = "at")]
    pub generation: Generation,
    /// The last change that it knows to be committed.
    pub committed: Generation,
    /// Whether it has lost its disk and recovers.
    pub recovering: bool,
}

/// One document of a listing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DocumentSummary {
    /// Its key.
    pub key: String,
    /// The change that wrote it.
    pub generation: Generation,
    /// The size of its body, in bytes.
    #[serde(rename = "bytes")]
    pub body_bytes: usize,
}
