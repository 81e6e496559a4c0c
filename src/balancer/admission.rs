//! Admission of new requests, and load shedding when the responses of the fleet get late.

use super::*;

/// Time constant of the moving average of the request rate, in seconds.
const RATE_WINDOW_S: f64 = 10.0;
/// Upper limit of a work hint, as a multiple of the mean hint of its class. Hints are imprecise.
const MAX_RELATIVE_HINT: f64 = 6.0;
/// Minimum time left of a request, as a share of its expected latency. With less time, its response would most likely
/// be too late and the work wasted.
const MIN_TIME_LEFT_SHARE: f64 = 0.8;
/// Weight of assumed on-time samples beside the recorded ones. At a sidecar with little traffic, one late response of
/// two says nothing about the fleet.
const ON_TIME_PRIOR: f64 = 1.5;
/// Time constant of the decay of the lateness, as a multiple of the longest latency objective.
const LATENESS_DECAY_OBJECTIVES: f64 = 4.0;
/// Lateness above which the class of the highest priority is shed.
const SHED_START: f64 = 0.3;
/// Reduction of [`SHED_START`] for a class, per factor of e by which its priority is below the highest.
const SHED_START_PER_LOG_PRIORITY: f64 = 0.15;
/// Lateness up to which no class is shed.
const MIN_SHED_START: f64 = 0.06;
/// Excess of lateness over the start of shedding at which a class is shed entirely.
const SHED_RANGE: f64 = 0.1;

/// Lateness of the latest responses of one server: 0 up to half of the latency objective, 1 at the objective.
#[derive(Debug)]
struct LatenessSample {
    slot: Slot,
    lateness: f64,
    taken_at: Micros,
}

/// Lateness of the responses of the fleet. It decays unless responses renew it.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    samples: SmallVec<[LatenessSample; FLEET_SAMPLE_SIZE]>,
    mean: f64,
    updated_at: Micros,
}

impl Lateness {
    /// Removes the sample of a server.
    pub(super) fn remove(&mut self, slot: Slot) {
        self.samples.retain(|s| s.slot != slot);
    }

    /// Records a sample and updates the mean. A few slow servers are not an overload of the fleet, so each server
    /// counts once, and the third of the servers with the highest lateness is left out.
    fn record(&mut self, slot: Slot, lateness: f64, now: Micros, decay: Micros) {
        self.samples.retain(|s| now - s.taken_at < 3 * decay);
        let existing = self.samples.iter().position(|s| s.slot == slot);
        let lateness = existing.map_or(lateness, |i| 0.5 * (self.samples[i].lateness + lateness));
        let sample = LatenessSample { slot, lateness, taken_at: now };
        let oldest = (0..self.samples.len()).min_by_key(|&i| self.samples[i].taken_at);
        match existing.or(oldest.filter(|_| self.samples.len() == FLEET_SAMPLE_SIZE)) {
            Some(i) => self.samples[i] = sample,
            None => self.samples.push(sample),
        }
        let weight = |s: &LatenessSample| libm::exp(-((now - s.taken_at) as f64) / decay as f64);
        let weighted = self.samples.iter().map(|s| (s.lateness, weight(s)));
        let mut weighted: SmallVec<[(f64, f64); FLEET_SAMPLE_SIZE]> = weighted.collect();
        weighted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        weighted.truncate(weighted.len() - weighted.len() / 3);
        let total = weighted.iter().map(|s| s.1).sum::<f64>() + ON_TIME_PRIOR;
        self.mean = weighted.iter().map(|s| s.0 * s.1).sum::<f64>() / total;
        self.updated_at = now;
    }
}

impl Balancer {
    /// Sends, sheds or rejects a new request.
    pub(super) fn on_request(&mut self, new: NewRequest, actions: &mut Vec<Action>) {
        let id = new.id;
        let class = new.class.min(self.settings.classes.len() - 1);
        let relative_work = self.relative_work(class, new.work_hint);
        let request = Request {
            class,
            affinity_key: new.affinity_key,
            relative_work,
            over_quota: new.over_quota,
            deadline: self.now + new.time_left,
            ..Request::default()
        };
        self.requests.insert(id, request);
        let gap_s = (self.now.saturating_sub(self.last_request) as f64 / 1e6).max(1e-3);
        let decay = libm::exp(-gap_s / RATE_WINDOW_S);
        self.request_rate = self.request_rate * decay + (1.0 - decay) / gap_s;
        self.last_request = self.now;
        let budget = &mut self.retry_budget;
        budget.saved = (budget.saved + budget.per_request).min(budget.max_saved);
        let expected_latency = relative_work * self.classes[class].mean_latency;
        let too_late = (new.time_left as f64) < MIN_TIME_LEFT_SHARE * expected_latency;
        let shed_share = self.shed_share(class, new.over_quota);
        let shed_share = if too_late { 1.0 - MIN_ADMITTED_SHARE } else { shed_share };
        if self.uniform() < shed_share {
            let reason = if too_late { EndReason::TooLittleTime } else { EndReason::Overload };
            return self.end(id, reason, actions);
        }
        if !self.start_attempt(id, actions) {
            return self.end(id, EndReason::NoServer, actions);
        }
        let objective = self.settings.classes[class].latency_objective;
        self.set_timer(objective, Timer::Objective(id), actions);
        // Rule 1: the request gets its final answer in time, whatever happens to its attempts.
        self.set_timer(new.time_left, Timer::Deadline(id), actions);
    }

    /// Returns the expected latency of a request relative to the mean of its class, from its work hint. About half of
    /// the latency is proportional to the work.
    fn relative_work(&mut self, class: usize, hint: Option<Micros>) -> f64 {
        let Some(hint) = hint.filter(|&hint| hint > 0) else { return 1.0 };
        let (hint, mean) = (hint as f64, &mut self.classes[class].mean_work_hint);
        *mean = if *mean > 0.0 { *mean + EWMA_WEIGHT * (hint - *mean) } else { hint };
        0.5 + 0.5 * (hint / *mean).min(MAX_RELATIVE_HINT)
    }

    /// Returns the priority of a class per unit of work. The base latency approximates the work of a request.
    fn priority(&self, class: usize) -> f64 {
        let weight = self.settings.classes[class].priority_weight;
        match self.settings.priority_basis {
            PriorityBasis::Work => weight,
            PriorityBasis::Request => weight / self.classes[class].base_latency.max(1.0),
        }
    }

    /// Returns the share of the requests of a class to shed.
    ///
    /// In overload, requests of low priority would delay those of high priority. So the lower the priority of a class,
    /// relative to the highest, the earlier it is shed. Between classes of equal priority an early rejection would not
    /// free capacity for a more valuable request. A request over its tenant's quota has the reduced priority given in
    /// the settings.
    fn shed_share(&self, class: usize, over_quota: bool) -> f64 {
        let priorities = (0..self.settings.classes.len()).map(|class| self.priority(class));
        let highest = priorities.fold(0.0, f64::max);
        let weight = if over_quota { self.settings.over_quota_weight } else { 1.0 };
        let log_below = libm::log(highest / (weight * self.priority(class)).max(1e-9)).max(0.0);
        let start = (SHED_START - SHED_START_PER_LOG_PRIORITY * log_below).max(MIN_SHED_START);
        let age = self.now.saturating_sub(self.lateness.updated_at) as f64;
        let decay = libm::exp(-age / (LATENESS_DECAY_OBJECTIVES * self.longest_objective));
        ((self.lateness.mean * decay - start) / SHED_RANGE).clamp(0.0, 1.0)
    }

    /// Records a latency, in microseconds, as a sample of the lateness of the fleet.
    pub(super) fn record_lateness(&mut self, slot: Slot, class: usize, latency: f64) {
        let lateness = (2.0 * latency / self.objective(class) - 1.0).clamp(0.0, 1.4);
        let decay = (LATENESS_DECAY_OBJECTIVES * self.longest_objective) as Micros;
        self.lateness.record(slot, lateness, self.now, decay);
    }
}
