//! Applies endpoint lists and schedules polls of discovery.

use super::*;

impl Balancer {
    /// Applies an endpoint list and rebuilds the subset.
    pub(super) fn update_servers(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        if kind != ListKind::Delta {
            let listed: FxHashSet<ServerId> = entries.iter().map(|e| e.id).collect();
            let missing = self.servers.iter_mut().filter(|s| !listed.contains(&s.id));
            missing.for_each(|s| s.health = Health::Removed);
        }
        self.list_clock.observe(entries, self.now);
        for entry in entries {
            self.update_server(entry);
        }
        if kind != ListKind::Cached {
            self.list_clock.list_applied(self.now);
        }
        self.rebuild_subset();
    }

    /// Schedules the next subscription after a failed poll or a cached list.
    ///
    /// Thousands of sidecars that lose discovery at the same time would overload it when it recovers, so each waits
    /// for a random, growing time. The delays are short enough to leave time for a third call, after two failed ones,
    /// before the notification deadline.
    pub(super) fn schedule_poll(&mut self, kind: ListKind, actions: &mut Vec<Action>) {
        let polls = self.settings.discovery == DiscoveryMode::OnRequest;
        let expected_calls = if kind == ListKind::Failed { 2 } else { 1 };
        let time_per_call = NOTIFICATION_DEADLINE / expected_calls;
        let max_delay = self.settings.rules.max_poll_interval.min(time_per_call) as f64 / 2.0;
        let delay = match kind {
            ListKind::Failed if polls => {
                let backoff = max_delay * f64::from(2 + self.failed_polls.min(1)) / 3.0;
                self.failed_polls += 1;
                backoff * (0.25 + 0.75 * self.uniform())
            }
            ListKind::Cached if polls => max_delay * self.uniform(),
            _ => {
                self.failed_polls = 0;
                return;
            }
        };
        self.set_timer(delay as Micros, Timer::Subscribe, actions);
    }

    fn update_server(&mut self, entry: &ServerEntry) {
        let slot = match self.slots.get(&entry.id) {
            Some(&slot) => slot,
            None if entry.health == Health::Removed => return,
            None => self.insert_server(entry),
        };
        let warming_since = self.list_clock.warming_since(entry.started_at, self.now);
        let server = &mut self.servers[slot];
        // Any change of the start time is a restart, also to an earlier time: the machine's clock may have been set
        // back. A start time that discovery no longer reports (0) is not a restart.
        if entry.started_at != server.started_at && entry.started_at > 0 {
            // The state of the old process is discarded, except for the number of attempts in flight.
            let &mut Server { in_flight, excused_in_flight, .. } = server;
            *server = Server { in_flight, excused_in_flight, ..Server::new(entry, warming_since) };
        }
        let is_valid = entry.weight.is_finite() && entry.weight > 0.0;
        server.weight = if is_valid { f64::from(entry.weight) } else { 1.0 };
        (server.zone, server.cell, server.health) = (entry.zone, entry.cell, entry.health);
    }

    /// Adds a server. Reuses the slot of a removed server that has no attempts in flight, if there is one.
    fn insert_server(&mut self, entry: &ServerEntry) -> Slot {
        let is_free = |s: &Server| s.health == Health::Removed && s.in_flight == 0;
        let warming_since = self.list_clock.warming_since(entry.started_at, self.now);
        let slot = self.servers.iter().position(is_free).unwrap_or(self.servers.len());
        if let Some(removed) = self.servers.get_mut(slot) {
            self.slots.remove(&removed.id);
            self.lateness.remove(slot);
            *removed = Server::new(entry, warming_since);
        } else {
            self.servers.push(Server::new(entry, warming_since));
        }
        self.slots.insert(entry.id, slot);
        slot
    }
}
