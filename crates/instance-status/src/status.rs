//! The status of one sidecar. The names that are sent are those of version 0.2.0.

use std::borrow::Cow;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// The field that carries the status.
const STATUS_FIELD: &str = "X_STATE=";

/// Requests by their final answer, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestCounts {
    /// Answered with a server's response.
    pub served: u64,
    /// Rejected: a retry is safe.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

impl AddAssign for RequestCounts {
    fn add_assign(&mut self, other: RequestCounts) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
    }
}

/// A configuration that was not applied completely.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RejectedConfig {
    /// Its generation; 0 if the file could not be read as far as that.
    pub generation: u64,
    /// The first reason.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The status of one sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its process.
    pub pid: u32,
    /// Its program's version.
    pub version: Cow<'static, str>,
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The last configuration that was not applied completely.
    #[serde(rename = "declined")]
    pub rejected_config: Option<RejectedConfig>,
    /// Discovery was asked, and servers are known.
    pub ready: bool,
    /// It only completes the requests that it has accepted.
    pub draining: bool,
    /// Connections of clients.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    /// Requests that were accepted and are not answered yet.
    #[serde(rename = "open")]
    pub in_flight_requests: usize,
    /// Accepting has failed just now, because file descriptors have run out.
    #[serde(rename = "short")]
    pub out_of_descriptors: bool,
    /// Requests by their final answer.
    pub counts: RequestCounts,
}

impl InstanceStatus {
    /// The datagram that reports this status.
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

    /// The status in a datagram, if it carries one that can be understood.
    pub fn from_datagram(datagram: &[u8]) -> Option<InstanceStatus> {
        let text = std::str::from_utf8(datagram).ok()?;
        let status = text.lines().find_map(|line| line.strip_prefix(STATUS_FIELD))?;
        serde_json::from_str(status).ok()
    }
}
