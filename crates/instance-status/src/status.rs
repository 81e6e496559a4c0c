//! The status of a sidecar. The serialized names are those of version 0.2.0.

use std::borrow::Cow;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The name of the field that carries the status, with the separator.
const STATUS_FIELD: &str = "X_STATE=";

/// The requests that a process has answered since it started, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestCounts {
    /// Requests that were answered with the response of a server.
    pub served: u64,
    /// Requests that were rejected. The client can safely retry them.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

impl AddAssign for RequestCounts {
    fn add_assign(&mut self, other: RequestCounts) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// A configuration that was not completely applied.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RejectedConfig {
    /// The generation of the configuration, or 0 if the file could not be parsed far enough to know it.
    pub generation: u64,
    /// The first of the reasons.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The status of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// The name of the sidecar.
    pub name: String,
    /// The pid of the sidecar.
    pub pid: u32,
    /// The version of the program.
    pub version: Cow<'static, str>,
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The last configuration that was not completely applied, or `None` if there is none.
    #[serde(rename = "declined")]
    pub rejected_config: Option<RejectedConfig>,
    /// Whether the sidecar is ready to serve: discovery was queried, and servers are known.
    pub ready: bool,
    /// Whether the sidecar is draining: it only completes the requests that it has accepted.
    pub draining: bool,
    /// The number of open client connections.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    /// The number of requests that were accepted and are not answered yet.
    #[serde(rename = "open")]
    pub in_flight_requests: usize,
    /// Whether accepting a connection has recently failed for lack of file descriptors.
    #[serde(rename = "short")]
    pub out_of_descriptors: bool,
    /// The requests answered since the start of the process, by outcome.
    pub counts: RequestCounts,
}

impl InstanceStatus {
    /// Returns the datagram that reports this status.
    pub fn to_datagram(&self) -> String {
        let mut text = format!("MAINPID={}\nWATCHDOG=1\n", self.pid);
        if self.ready {
            text += "READY=1\n";
        }
        if self.draining {
            text += "STOPPING=1\n";
        }
        if let Ok(json) = serde_json::to_string(self) {
            text += &format!("{STATUS_FIELD}{json}\n");
        }
        text
    }

    /// Parses the status in a datagram. Returns `None` if there is none or it is malformed.
    pub fn from_datagram(datagram: &[u8]) -> Option<InstanceStatus> {
        let text = std::str::from_utf8(datagram).ok()?;
        let status = text.lines().find_map(|line| line.strip_prefix(STATUS_FIELD))?;
        serde_json::from_str(status).ok()
    }
}
