//! Judges by the protocol's rule whether a sidecar sends new requests to a server that drains or was removed: by when
//! it counts as knowing that, and by when the first bytes of a request leave it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::wire::header;

#[cfg(test)]
mod tests;

/// How much longer any time of the protocol may be on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// What a machine may add that runs some dozens of processes on a few processors.
const BUSY_MACHINE: Duration = Duration::from_millis(250);
/// Where lists are polled, how long after discovery could be reached a sidecar counts as knowing what it has.
const POLL_NOTIFICATION: Duration = Duration::from_secs(6);
/// What the first line of a request begins with.
const METHODS: [&[u8]; 2] = [b"GET ", b"POST "];

/// How a sidecar learns of changes, and how soon it has to follow them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainRule {
    /// An agent has its lists; otherwise they are polled.
    pub pushed: bool,
    /// How long after it knows that a server drains it may send new requests there.
    pub grace: Duration,
}

impl DrainRule {
    /// How long after a change that could be fetched new requests may still be sent.
    fn allowance(&self) -> Duration {
        let notification = if self.pushed { Duration::ZERO } else { POLL_NOTIFICATION };
        notification + self.grace + SOCKET_SLACK + BUSY_MACHINE
    }
}

/// By when sidecars may send nothing new to servers that drain. The clock is passed in.
#[derive(Clone, Debug, Default)]
pub struct DrainDeadlines {
    /// By sidecar.
    rules: Vec<DrainRule>,
    /// Since when each sidecar can reach its discovery; none while it cannot.
    reachable_since: Vec<Option<Instant>>,
    /// Since when servers are listed as draining, or not any more.
    draining_since: HashMap<u16, Instant>,
}

impl DrainDeadlines {
    /// Sidecars with these rules, which can all reach discovery.
    pub fn new(rules: Vec<DrainRule>, now: Instant) -> DrainDeadlines {
        let reachable_since = vec![Some(now); rules.len()];
        DrainDeadlines { rules, reachable_since, draining_since: HashMap::new() }
    }

    /// Notes whether a sidecar can reach its discovery from now on.
    pub fn set_reachable(&mut self, sidecar: u16, reachable: bool, now: Instant) {
        let since = &mut self.reachable_since[usize::from(sidecar)];
        *since = reachable.then(|| since.unwrap_or(now));
    }

    /// Notes that from now on discovery lists a server as draining or not at all, or that it lists it as active again.
    pub fn set_draining(&mut self, server: u16, draining: bool, now: Instant) {
        if draining {
            self.draining_since.entry(server).or_insert(now);
        } else {
            self.draining_since.remove(&server);
        }
    }

    /// When the last new request to a server may leave a sidecar; none if any may.
    pub fn deadline(&self, sidecar: u16, server: u16) -> Option<Instant> {
        let sidecar = usize::from(sidecar);
        let reachable = self.reachable_since.get(sidecar).copied().flatten()?;
        let known = reachable.max(*self.draining_since.get(&server)?);
        Some(known + self.rules[sidecar].allowance())
    }
}

/// Watches what sidecars send to servers, and records in the account what is sent too late.
pub struct DrainWatch {
    account: Arc<Account>,
    deadlines: Mutex<DrainDeadlines>,
}

impl DrainWatch {
    /// A watch that knows of no sidecars yet.
    pub fn new(account: Arc<Account>) -> DrainWatch {
        DrainWatch { account, deadlines: Mutex::default() }
    }

    /// The deadlines.
    pub fn deadlines(&self) -> MutexGuard<'_, DrainDeadlines> {
        self.deadlines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what has just left a sidecar for a server.
    pub fn on_data(&self, sidecar: u16, server: u16, data: &[u8], now: Instant) {
        if !begins_request(data) {
            return;
        }
        let id = header(&String::from_utf8_lossy(data), "x-correlation-id").unwrap_or_default();
        self.account.record_departure(&format!("server {server}"), &id, now);
        let deadline = self.deadlines().deadline(sidecar, server);
        let Some(late) = deadline.and_then(|deadline| now.checked_duration_since(deadline)) else {
            return;
        };
        if late.is_zero() {
            return;
        }
        let sent = format!("{id}, sent by s{sidecar} {} ms too late,", late.as_millis());
        self.account.record_late_drain(&format!("server {server}"), &sent);
    }
}

/// Whether a request begins with this data. Bodies of the clients here begin otherwise.
fn begins_request(data: &[u8]) -> bool {
    METHODS.iter().any(|method| {
        let length = method.len().min(data.len());
        length > 0 && data[..length] == method[..length]
    })
}
