//! Records what the run reports of sidecars and their operators, and checks the rule `sockets`.

use std::time::Duration;

use super::Oracle;
use super::eligibility::Pair;
use super::rule::Rule;

/// A sidecar counts as short of descriptors for this time after it has some again.
const SHORTAGE_COOLDOWN: Duration = Duration::from_secs(1);

impl Oracle {
    /// Records that a sidecar has started: it was notified of nothing yet.
    pub fn sidecar_started(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} starts"));
        self.terminating_since.remove(&sidecar);
        self.eligibility.forget_sidecar(sidecar);
        self.backlogs.forget_sidecar(sidecar);
        self.drained_since.remove(&sidecar);
        self.slow_start.forget_sidecar(sidecar);
    }

    /// Records that a sidecar's process is held up for a time.
    pub fn sidecar_held_up(&mut self, now: Duration, sidecar: usize, duration: Duration) {
        self.last_hold_up.insert(sidecar, now..now + duration);
    }

    /// Returns the time between `since` and `now` during which a sidecar was held up by its last hold-up.
    pub(super) fn held_up_since(&self, since: Duration, now: Duration, sidecar: usize) -> Duration {
        let Some(hold_up) = self.last_hold_up.get(&sidecar) else { return Duration::ZERO };
        hold_up.end.min(now).saturating_sub(hold_up.start.max(since))
    }

    /// Records that a sidecar was killed: no response is owed for its open requests.
    pub fn sidecar_killed(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} is killed"));
        let open = self.requests.values_mut().filter(|r| r.sidecar == sidecar && !r.finished);
        for request in open.filter(|r| r.response.is_none()) {
            request.excused_since.get_or_insert(now);
        }
    }

    /// Records that a sidecar was asked to terminate. It need not answer requests that it receives much later.
    pub fn sidecar_terminating(&mut self, now: Duration, sidecar: usize) {
        self.note(now, || format!("sidecar {sidecar} is asked to terminate"));
        self.terminating_since.insert(sidecar, now);
    }

    /// Records that a sidecar has no descriptors left, or has some again. Without descriptors, connections wait to be
    /// accepted.
    pub fn set_short_of_descriptors(&mut self, now: Duration, sidecar: usize, short: bool) {
        let until = if short { Duration::MAX } else { now + SHORTAGE_COOLDOWN };
        if short || self.short_of_descriptors_until.contains_key(&sidecar) {
            self.short_of_descriptors_until.insert(sidecar, until);
        }
    }

    /// Records that operators of a sidecar have disabled a server, or are about to enable it.
    pub fn set_server_disabled(
        &mut self,
        now: Duration,
        sidecar: usize,
        server: usize,
        disabled: bool,
    ) {
        self.note(now, || format!("server {server} is disabled at sidecar {sidecar}: {disabled}"));
        self.eligibility.set_disabled(now, Pair { sidecar, server }, disabled);
        if disabled {
            self.count("servers disabled");
        }
    }

    /// Records that operators of a sidecar have drained its clients, or are about to end the drain.
    pub fn set_clients_drained(&mut self, now: Duration, sidecar: usize, drained: bool) {
        self.note(now, || format!("clients of sidecar {sidecar} are drained: {drained}"));
        if drained {
            self.drained_since.entry(sidecar).or_insert(now);
            self.count("clients drained");
        } else {
            self.drained_since.remove(&sidecar);
        }
    }

    /// Checks the rule `sockets`: a sidecar stays within its limit of descriptors.
    pub fn check_sockets(&mut self, now: Duration, sidecar: usize, held: usize) {
        if held > self.limits.sockets {
            let message = format!(
                "sidecar {sidecar} holds {held} descriptors, its limit is {}",
                self.limits.sockets
            );
            self.violate(now, Rule::Sockets, message);
        }
    }
}
