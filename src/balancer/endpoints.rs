//! Endpoint lists, and when to ask discovery for them.

use super::*;

impl Balancer {
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

    /// Thousands that lose discovery together would overload it again: each waits a random, growing time, so short that
    /// after two failed calls there is time for a third.
    pub(super) fn schedule_poll(&mut self, kind: ListKind, actions: &mut Vec<Action>) {
        let polls = self.settings.discovery == DiscoveryMode::OnRequest;
        let parts = if kind == ListKind::Failed { 2 } else { 1 };
        let until = NOTIFICATION_DEADLINE / parts;
        let most = self.settings.rules.max_poll_interval.min(until) as f64 / 2.0;
        let delay = match kind {
            ListKind::Failed if polls => {
                let backoff = most * f64::from(2 + self.failed_polls.min(1)) / 3.0;
                self.failed_polls += 1;
                backoff * (0.25 + 0.75 * self.uniform())
            }
            ListKind::Cached if polls => most * self.uniform(),
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
        // A machine's clock may have been set back between two starts. A start that is no longer told is none.
        if entry.started_at != server.started_at && entry.started_at > 0 {
            // A restart voids what was known of the old process. Attempts in flight keep their count.
            *server = Server { in_flight: server.in_flight, ..Server::new(entry, warming_since) };
        }
        let sound = entry.weight.is_finite() && entry.weight > 0.0;
        server.weight = if sound { f64::from(entry.weight) } else { 1.0 };
        (server.zone, server.cell, server.health) = (entry.zone, entry.cell, entry.health);
    }

    /// Adds a server, in the slot of a removed one if there is one with nothing in flight.
    fn insert_server(&mut self, entry: &ServerEntry) -> Slot {
        let is_free = |s: &Server| s.health == Health::Removed && s.in_flight == 0;
        let warming_since = self.list_clock.warming_since(entry.started_at, self.now);
        let slot = self.servers.iter().position(is_free).unwrap_or(self.servers.len());
        if let Some(removed) = self.servers.get_mut(slot) {
            self.slots.remove(&removed.id);
            self.lateness.forget(slot);
            *removed = Server::new(entry, warming_since);
        } else {
            self.servers.push(Server::new(entry, warming_since));
        }
        self.slots.insert(entry.id, slot);
        slot
    }
}
