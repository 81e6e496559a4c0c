//! What a sidecar reports of itself, and the way reports take: datagrams as sd_notify(3) has them.
//!
//! Beside systemd's own fields (`READY`, `STOPPING`, `WATCHDOG`, `MAINPID`) a report carries the
//! state of the sidecar as `X_STATE`, one line of JSON; systemd passes over fields it does not know.

use std::borrow::Cow;
use std::ops::AddAssign;
use std::os::unix::net::UnixDatagram;

use serde::{Deserialize, Serialize};

/// The longest report, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Requests by their final answer, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct RequestCounts {
    /// Served with a server's answer.
    pub served: u64,
    /// Refused: trying again is harmless.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
}

impl AddAssign for RequestCounts {
    fn add_assign(&mut self, more: RequestCounts) {
        self.served += more.served;
        self.rejected += more.rejected;
        self.failed += more.failed;
    }
}

/// A configuration that was not taken over whole.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RejectedConfig {
    /// Its number; 0 if the file could not be read as far as that.
    pub generation: u64,
    /// The first reason.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The state of one sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its process.
    pub pid: u32,
    /// Its program's version.
    pub version: Cow<'static, str>,
    /// The configuration in force.
    pub generation: u64,
    /// The last configuration that was not taken over whole, and why.
    #[serde(rename = "declined")]
    pub rejected_config: Option<RejectedConfig>,
    /// Discovery was tried, and servers are known.
    pub ready: bool,
    /// Only what was taken is still answered.
    pub draining: bool,
    /// Connections of clients.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    /// Requests under way.
    #[serde(rename = "open")]
    pub in_flight_requests: usize,
    /// Accepting has failed just now: descriptors have run out.
    #[serde(rename = "short")]
    pub out_of_descriptors: bool,
    /// Requests by their final answer.
    pub counts: RequestCounts,
}

impl InstanceStatus {
    /// The report that tells this state.
    pub fn to_datagram(&self) -> String {
        let mut text = format!("MAINPID={}\nWATCHDOG=1\n", self.pid);
        if self.ready {
            text += "READY=1\n";
        }
        if self.draining {
            text += "STOPPING=1\n";
        }
        if let Ok(json) = serde_json::to_string(self) {
            text += &format!("X_STATE={json}\n");
        }
        text
    }

    /// The state in a report; none if it carries none that can be understood.
    pub fn from_datagram(report: &[u8]) -> Option<InstanceStatus> {
        let text = std::str::from_utf8(report).ok()?;
        let state = text.lines().find_map(|line| line.strip_prefix("X_STATE="))?;
        serde_json::from_str(state).ok()
    }
}

/// The way to whoever supervises this process.
///
/// Danger: it never blocks. A supervisor that does not read would otherwise stop the event loop
/// that serves clients (so kept crates for sd_notify, which block, are not used here).
pub struct SupervisorSocket {
    socket: UnixDatagram,
    path: String,
}

impl SupervisorSocket {
    /// The one that `NOTIFY_SOCKET` names, if it names one.
    pub fn from_env() -> Option<SupervisorSocket> {
        let path = std::env::var("NOTIFY_SOCKET").ok().filter(|p| p.starts_with('/'))?;
        let socket = UnixDatagram::unbound().ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(SupervisorSocket { socket, path })
    }

    /// Sends one or more fields, a line each; whether they are on their way. They may be lost: the
    /// supervisor may be gone, or its queue full.
    pub fn send(&self, fields: &str) -> bool {
        self.socket.send_to(fields.as_bytes(), &self.path).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn state() -> InstanceStatus {
        InstanceStatus {
            name: "a-1".into(),
            pid: 7,
            version: "1".into(),
            generation: 3,
            rejected_config: None,
            ready: true,
            draining: false,
            client_connections: 1,
            in_flight_requests: 2,
            out_of_descriptors: false,
            counts: RequestCounts { served: 1, rejected: 2, failed: 3 },
        }
    }

    #[test]
    fn a_report_tells_the_state_and_systemds_fields() {
        let report = state().to_datagram();
        assert_eq!(InstanceStatus::from_datagram(report.as_bytes()), Some(state()));
        assert!(report.starts_with("MAINPID=7\nWATCHDOG=1\nREADY=1\nX_STATE="));
        assert!(report.len() < MAX_DATAGRAM_BYTES);
    }

    #[test]
    fn reports_that_are_none_of_ours_are_passed_over() {
        for bad in ["", "READY=1", "X_STATE=", "X_STATE={}", "X_STATE={\"pid\":-1}"] {
            assert!(InstanceStatus::from_datagram(bad.as_bytes()).is_none());
        }
        assert!(InstanceStatus::from_datagram(&[0xff; 100]).is_none());
    }
}
