//! Slow start: a server that has just started gets less work, as all sidecars together can overload it.
//!
//! How long a server has run is estimated when it is first listed, and counted on the balancer's own clock from then
//! on. Start times are wall-clock times of other machines, and this machine's wall clock may be wrong by an hour, too.
//! So each estimate is the least of several that do not depend on each other.

use super::*;

/// What endpoint lists tell of the time at which they were made.
#[derive(Debug, Default)]
pub(super) struct ListClock {
    /// The latest start of any server, and when it was first listed: no list is older than what it names.
    latest_start: Option<ObservedStart>,
    /// When the last list of discovery arrived. A server that it did not name has started since.
    last_list: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedStart {
    started_at: Micros,
    seen_at: Micros,
}

impl ListClock {
    /// Takes in the start times of a list that arrived at `now`.
    pub(super) fn observe(&mut self, entries: &[ServerEntry], now: Micros) {
        let latest = entries.iter().map(|entry| entry.started_at).max().unwrap_or(0);
        if latest > 0 && self.lists_now(now).is_none_or(|lists_now| latest > lists_now) {
            self.latest_start = Some(ObservedStart { started_at: latest, seen_at: now });
        }
    }

    /// Notes that a list of discovery was taken in at `now`.
    pub(super) fn list_applied(&mut self, now: Micros) {
        self.last_list = Some(now);
    }

    /// The present time on the clock of start times, at the least.
    fn lists_now(&self, now: Micros) -> Option<Micros> {
        let latest = self.latest_start?;
        Some(latest.started_at.saturating_add(now.saturating_sub(latest.seen_at)))
    }

    /// How long a server has surely run that is first listed at `now`, with this start.
    ///
    /// Three bounds, each wrong in another case: by this machine's wall clock; by the latest start in any list, which
    /// is wrong if a server gives a time in the future; and by the time since the last list, which did not name it.
    fn least_age(&self, started_at: Micros, now: Micros) -> Micros {
        let by_wall_clock = now.saturating_sub(started_at);
        let by_lists = self.lists_now(now).map_or(0, |then| then.saturating_sub(started_at));
        let since_list = self.last_list.map_or(Micros::MAX, |at| now.saturating_sub(at));
        by_wall_clock.min(by_lists).min(since_list)
    }

    /// When a server began to warm up, on the balancer's clock; none if it started long ago.
    pub(super) fn warming_since(&self, started_at: Micros, now: Micros) -> Option<Micros> {
        (started_at > 0).then(|| now.saturating_sub(self.least_age(started_at, now)))
    }
}

/// Where little of the recent capacity is left, a request may go to servers in slow start with so many times the
/// probability that is left of it. If there are no others, they get so many times what they can take of a full load; beside
/// few others somewhat more, as the less used of two is taken. They fall at a higher multiple.
const MAX_WARMING_MULTIPLE: f64 = 2.0;

/// What the ready servers can take, and could lately. Requests do not become fewer when servers drain.
#[derive(Debug, Default)]
pub(super) struct RecentCapacity {
    present: f64,
    recent: f64,
    updated_at: Micros,
}

impl RecentCapacity {
    /// Takes in the present capacity. What is more than that fades over a slow-start window: by then the servers that
    /// are left have warmed up.
    fn update(&mut self, present: f64, now: Micros, window: Micros) {
        let age = now.saturating_sub(self.updated_at) as f64;
        let faded = self.recent * (-age / window.max(1) as f64).exp();
        // What was there until now has not faded.
        self.recent = faded.max(self.present).max(present);
        self.present = present;
        self.updated_at = now;
    }
}

impl Balancer {
    /// Takes in what the ready servers can take now.
    pub(super) fn update_recent_capacity(&mut self) {
        let present = self.total_capacity(&self.ready.slots);
        let window = self.settings.rules.slow_start_window;
        self.recent_capacity.update(present, self.now, window);
    }

    /// Whether a request may go to a server in slow start. Always, unless most of the recent capacity has gone: the
    /// weights of a choice bound nothing where there is no other choice.
    pub(super) fn may_use_warming(&mut self) -> bool {
        let RecentCapacity { present, recent, .. } = self.recent_capacity;
        let share = MAX_WARMING_MULTIPLE * present / recent;
        share >= 1.0 || self.uniform() < share
    }

    /// The share of its full capacity that a server surely has by now.
    pub(super) fn slow_start_weight(&self, server: &Server) -> f64 {
        let Some(warming_since) = server.warming_since else { return 1.0 };
        let rules = &self.settings.rules;
        let age = self.now.saturating_sub(warming_since) as f64;
        let warmed_up = (age / (rules.slow_start_window.max(1) as f64)).min(1.0);
        rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmed_up
    }
}
