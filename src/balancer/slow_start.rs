//! Slow start: a server that has just started gets fewer requests, as all sidecars together could overload it.
//!
//! The age of a server is estimated when it is first listed, and counted on the balancer's own clock from then on.
//! Start times are wall-clock times of other machines, and this machine's wall clock may be wrong by an hour, too. So
//! the estimate is the minimum of several independent ones.

use super::*;

/// Estimates the ages of servers from the start times in endpoint lists and the arrival times of the lists.
#[derive(Debug, Default)]
pub(super) struct ListClock {
    /// Latest start time of any server, and when it was first listed. A list cannot be older than the start of a
    /// server in it, so this is a lower bound of the current time on the clock of start times.
    latest_start: Option<ObservedStart>,
    /// Arrival time of the last list from discovery. A server that is not in it has started since.
    last_list: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedStart {
    started_at: Micros,
    seen_at: Micros,
}

impl ListClock {
    /// Records the start times of a list that arrived at `now`.
    pub(super) fn observe(&mut self, entries: &[ServerEntry], now: Micros) {
        let latest = entries.iter().map(|entry| entry.started_at).max().unwrap_or(0);
        if latest > 0 && self.min_current_time(now).is_none_or(|current| latest > current) {
            self.latest_start = Some(ObservedStart { started_at: latest, seen_at: now });
        }
    }

    /// Records that a list from discovery was applied at `now`.
    pub(super) fn list_applied(&mut self, now: Micros) {
        self.last_list = Some(now);
    }

    /// Returns a lower bound of the current time on the clock of start times.
    fn min_current_time(&self, now: Micros) -> Option<Micros> {
        let latest = self.latest_start?;
        Some(latest.started_at.saturating_add(now.saturating_sub(latest.seen_at)))
    }

    /// Returns a lower bound of the age of a server with this start time that is first listed at `now`.
    ///
    /// It is the minimum of three estimates, each of which is wrong in a different case: by this machine's wall
    /// clock; by the latest start time in any list, which is wrong if a server reports a time in the future; and by
    /// the time since the last list, which did not contain the server.
    fn min_age(&self, started_at: Micros, now: Micros) -> Micros {
        let by_wall_clock = now.saturating_sub(started_at);
        let by_lists =
            self.min_current_time(now).map_or(0, |current| current.saturating_sub(started_at));
        let since_list = self.last_list.map_or(Micros::MAX, |at| now.saturating_sub(at));
        by_wall_clock.min(by_lists).min(since_list)
    }

    /// Returns the estimated start of a server's warm-up on the balancer's clock; `None` if it started long ago.
    pub(super) fn warming_since(&self, started_at: Micros, now: Micros) -> Option<Micros> {
        (started_at > 0).then(|| now.saturating_sub(self.min_age(started_at, now)))
    }
}

/// Multiple of the remaining share of the recent capacity that gives the probability with which a request may go to a
/// server in slow start. Without other servers, those in slow start thus get at most this multiple of their share of
/// a full load; beside a few others somewhat more, as the less used of two servers is selected. It is below the
/// overload factor at which a server in slow start fails.
const MAX_WARMING_MULTIPLE: f64 = 2.0;

/// Capacity of the ready servers, now and recently. The load does not fall when servers drain.
#[derive(Debug, Default)]
pub(super) struct RecentCapacity {
    current: f64,
    recent: f64,
    updated_at: Micros,
}

impl RecentCapacity {
    /// Records the current capacity. The excess of the recent capacity decays over a slow-start window, within which
    /// the remaining servers warm up.
    fn update(&mut self, current: f64, now: Micros, window: Micros) {
        let age = now.saturating_sub(self.updated_at) as f64;
        let decayed = self.recent * libm::exp(-age / window.max(1) as f64);
        // The capacity that was available until now has not decayed.
        self.recent = decayed.max(self.current).max(current);
        self.current = current;
        self.updated_at = now;
    }
}

impl Balancer {
    /// Records the current capacity of the ready servers.
    pub(super) fn update_recent_capacity(&mut self) {
        let current = self.total_capacity(&self.ready.slots);
        let window = self.settings.rules.slow_start_window;
        self.recent_capacity.update(current, self.now, window);
    }

    /// Decides whether a request may go to a server in slow start. It always may, unless most of the recent capacity is
    /// gone: then the selection weights alone would not limit the load of the few servers that are left.
    pub(super) fn may_use_warming(&mut self) -> bool {
        let RecentCapacity { current, recent, .. } = self.recent_capacity;
        let probability = MAX_WARMING_MULTIPLE * current / recent;
        probability >= 1.0 || self.uniform() < probability
    }

    /// Returns the share of its full capacity that a server has at least by now.
    pub(super) fn slow_start_weight(&self, server: &Server) -> f64 {
        let Some(warming_since) = server.warming_since else { return 1.0 };
        let rules = &self.settings.rules;
        let age = self.now.saturating_sub(warming_since) as f64;
        let warmed_up = (age / (rules.slow_start_window.max(1) as f64)).min(1.0);
        rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmed_up
    }
}
