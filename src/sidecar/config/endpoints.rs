//! The endpoint list format of discovery.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::Deserialize;

use super::stable_hash;
use crate::api::{Health, ServerId};

/// A string that borrows from the parsed text, or is a copy if it contained escape sequences.
#[derive(Clone, Debug, Deserialize)]
pub struct BorrowedText<'a>(#[serde(borrow)] Cow<'a, str>);

impl AsRef<str> for BorrowedText<'_> {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// A complete endpoint list, or changes to one. Names are copies or borrow from the parsed text, depending on `S`.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList<S = String> {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the complete list rather than only changes.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The servers in the list.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint<S>>,
}

impl Default for EndpointList {
    fn default() -> EndpointList {
        EndpointList { version: 0, is_complete: false, endpoints: Vec::new() }
    }
}

/// One server in an endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint<S = String> {
    /// The name, which is the same for every sidecar.
    #[serde(rename = "host")]
    pub name: S,
    /// The address at which this sidecar reaches the server; may be `None` for a server that was removed.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The server's zone; `None` if discovery does not report it.
    #[serde(rename = "site")]
    pub(super) zone: Option<S>,
    /// The machine type; `None` if discovery does not report it.
    #[serde(rename = "class")]
    pub(super) kind: Option<S>,
    /// The cell within the zone.
    #[serde(rename = "block", default)]
    pub(super) cell: u16,
    /// The state reported by discovery.
    pub(super) health: EndpointHealth,
    /// Capacity relative to other servers.
    #[serde(rename = "share", default = "default_weight")]
    pub(super) weight: f32,
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "born_ms", default)]
    pub(super) started_unix_ms: u64,
}

/// The state of a server as reported by discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EndpointHealth {
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

impl From<EndpointHealth> for Health {
    fn from(health: EndpointHealth) -> Health {
        match health {
            EndpointHealth::Active => Health::Ready,
            EndpointHealth::Draining => Health::Draining,
            EndpointHealth::Removed => Health::Removed,
        }
    }
}

fn default_weight() -> f32 {
    1.0
}

impl<S: AsRef<str>> Endpoint<S> {
    /// The balancer's identifier of this server.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.name.as_ref().as_bytes()))
    }

    /// Whether the server is part of the list, so was not removed.
    pub fn is_listed(&self) -> bool {
        !matches!(self.health, EndpointHealth::Removed)
    }

    /// Whether the server may get new requests.
    pub fn is_active(&self) -> bool {
        matches!(self.health, EndpointHealth::Active)
    }
}
