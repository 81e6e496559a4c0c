//! Endpoint lists as discovery sends them.

use std::borrow::Cow;
use std::net::SocketAddr;

use serde::Deserialize;

use super::stable_hash;
use crate::api::{Health, ServerId};

/// Text that borrows from a larger one where it can, and is a copy where it had to be unescaped.
#[derive(Clone, Debug, Deserialize)]
pub struct BorrowedText<'a>(#[serde(borrow)] Cow<'a, str>);

impl AsRef<str> for BorrowedText<'_> {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// A list of servers, or the changes of one. Names are copies, or borrow from the text that was parsed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList<S = String> {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether this is the complete list, not changes alone.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The entries.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint<S>>,
}

impl Default for EndpointList {
    fn default() -> EndpointList {
        EndpointList { version: 0, is_complete: false, endpoints: Vec::new() }
    }
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint<S = String> {
    /// The name, the same at every sidecar.
    #[serde(rename = "host")]
    pub name: S,
    /// Where it listens for this sidecar; one that has left need not say.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The zone that it is in.
    #[serde(rename = "site")]
    pub(super) zone: Option<S>,
    /// The kind of machine.
    #[serde(rename = "class")]
    pub(super) kind: Option<S>,
    /// The cell of its zone.
    #[serde(rename = "block", default)]
    pub(super) cell: u16,
    /// Whether it may get requests.
    pub(super) health: EndpointHealth,
    /// Its capacity, relative to other servers.
    #[serde(rename = "share", default = "default_weight")]
    pub(super) weight: f32,
    /// When it started, in milliseconds of Unix time; 0 if that is not known.
    #[serde(rename = "born_ms", default)]
    pub(super) started_unix_ms: u64,
}

/// What discovery says of a server.
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
    /// The balancer's identifier for it.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.name.as_ref().as_bytes()))
    }

    /// Whether it is in the list at all.
    pub fn is_listed(&self) -> bool {
        !matches!(self.health, EndpointHealth::Removed)
    }

    /// Whether it may get new requests.
    pub fn is_active(&self) -> bool {
        matches!(self.health, EndpointHealth::Active)
    }
}
