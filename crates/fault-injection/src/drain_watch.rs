//! Checks the protocol's rule that a sidecar sends no new requests to a server that drains or was removed. It compares
//! the time at which the sidecar counts as knowing the change with the time at which the first bytes of a request
//! leave the sidecar.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fakes::account::Account;
use fakes::framing::{MessageFramer, MessagePart};
use fakes::wire::header;

#[cfg(test)]
mod tests;

/// The protocol's allowance on any time limit for real sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The allowance for a machine that runs dozens of processes on a few processors.
const BUSY_MACHINE_ALLOWANCE: Duration = Duration::from_millis(250);
/// The time after which a sidecar that polls its lists counts as knowing a change, from when discovery is reachable.
const POLL_NOTIFICATION: Duration = Duration::from_secs(6);
/// The header with the id of a request.
const CORRELATION_ID: &str = "x-correlation-id";

/// The way in which a sidecar learns of changes, and the time within which it has to follow them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainRule {
    /// Whether an agent provides its lists. Otherwise the sidecar polls them.
    pub pushed: bool,
    /// The time after it knows that a server drains within which it may send new requests there.
    pub grace: Duration,
}

impl DrainRule {
    /// Returns the time after a change can be fetched within which new requests may still be sent.
    fn allowance(&self) -> Duration {
        let notification = if self.pushed { Duration::ZERO } else { POLL_NOTIFICATION };
        notification + self.grace + SOCKET_SLACK + BUSY_MACHINE_ALLOWANCE
    }
}

/// The deadlines for new requests from sidecars to draining servers. Callers pass in the time.
#[derive(Clone, Debug, Default)]
pub struct DrainDeadlines {
    /// The rule of each sidecar.
    rules: Vec<DrainRule>,
    /// The time since which each sidecar can reach its discovery. `None` while it cannot.
    reachable_since: Vec<Option<Instant>>,
    /// The time since which servers are listed as draining, or not listed any more.
    draining_since: HashMap<u16, Instant>,
}

impl DrainDeadlines {
    /// Creates the deadlines of sidecars with these rules, all of which can reach discovery.
    pub fn new(rules: Vec<DrainRule>, now: Instant) -> DrainDeadlines {
        let reachable_since = vec![Some(now); rules.len()];
        DrainDeadlines { rules, reachable_since, draining_since: HashMap::new() }
    }

    /// Sets whether a sidecar can reach its discovery from now on.
    pub fn set_reachable(&mut self, sidecar: u16, reachable: bool, now: Instant) {
        let since = &mut self.reachable_since[usize::from(sidecar)];
        *since = reachable.then(|| since.unwrap_or(now));
    }

    /// Sets whether discovery lists a server as draining, or not at all, from now on. Otherwise it is listed as active.
    pub fn set_draining(&mut self, server: u16, draining: bool, now: Instant) {
        if draining {
            self.draining_since.entry(server).or_insert(now);
        } else {
            self.draining_since.remove(&server);
        }
    }

    /// Returns the latest time at which a new request to a server may leave a sidecar. `None` means no limit.
    pub fn deadline(&self, sidecar: u16, server: u16) -> Option<Instant> {
        let sidecar = usize::from(sidecar);
        let reachable = self.reachable_since.get(sidecar).copied().flatten()?;
        let known = reachable.max(*self.draining_since.get(&server)?);
        Some(known + self.rules[sidecar].allowance())
    }
}

/// Watches the data that sidecars send to servers, and records requests that are sent too late in the account.
pub struct DrainWatch {
    account: Arc<Account>,
    deadlines: Mutex<DrainDeadlines>,
}

impl DrainWatch {
    /// Creates a watch without any sidecars.
    pub fn new(account: Arc<Account>) -> DrainWatch {
        DrainWatch { account, deadlines: Mutex::default() }
    }

    /// Locks and returns the deadlines.
    pub fn deadlines(&self) -> MutexGuard<'_, DrainDeadlines> {
        self.deadlines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks data that has just left a sidecar for a server, on a connection whose requests `requests` follows.
    pub fn on_data(
        &self,
        sidecar: u16,
        server: u16,
        requests: &mut MessageFramer,
        data: &[u8],
        now: Instant,
    ) {
        requests.feed(data, |part| match part {
            MessagePart::FirstByte => self.check_begin(sidecar, server, data, now),
            MessagePart::Head(head) => {
                let id = header(head, CORRELATION_ID).unwrap_or_default();
                self.account.record_departure(&format!("server {server}"), &id, now);
            }
            MessagePart::LastByte => {}
        });
    }

    /// Checks that a request that begins within `data` is not too late.
    fn check_begin(&self, sidecar: u16, server: u16, data: &[u8], now: Instant) {
        let id = header(&String::from_utf8_lossy(data), CORRELATION_ID).unwrap_or_default();
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
