//! Admission: new requests, and load shedding when the answers of the fleet get late.

use super::*;

/// The time constant of the request rate, in seconds.
const RATE_WINDOW_S: f64 = 10.0;
/// Hints of work are rough.
const MAX_RELATIVE_WORK: f64 = 6.0;
/// With less time left than this share of its class's mean answer time, a request is wasted work.
const MIN_TIME_LEFT: f64 = 0.8;
/// On-time samples assumed beside those taken: at a quiet sidecar one late answer of two tells nothing of the fleet.
const ON_TIME_PRIOR: f64 = 1.5;
/// The time constant with which lateness fades, in longest latency objectives.
const LATENESS_DECAY_OBJECTIVES: f64 = 4.0;
/// The lateness from which the class of the highest priority is shed.
const SHED_START: f64 = 0.3;
/// How much sooner a class is shed whose priority is lower by a factor of e.
const SHED_START_PER_LOG_PRIORITY: f64 = 0.15;
/// The least lateness at which any class is shed.
const MIN_SHED_START: f64 = 0.06;
/// How much more lateness sheds all of a class.
const SHED_RANGE: f64 = 0.1;

/// How late the last answers of a server were: 0 up to half of the objective, 1 at the objective.
#[derive(Debug)]
struct LatenessSample {
    slot: Slot,
    lateness: f64,
    taken_at: Micros,
}

/// How late the answers of the fleet are, decaying where no answer renews it.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    samples: SmallVec<[LatenessSample; FLEET_SAMPLE]>,
    mean: f64,
    updated_at: Micros,
}

impl Lateness {
    pub(super) fn forget(&mut self, slot: Slot) {
        self.samples.retain(|s| s.slot != slot);
    }

    /// A few slow servers are no overload: each server counts once, and the latest third does not count.
    fn record(&mut self, slot: Slot, lateness: f64, now: Micros, decay: Micros) {
        self.samples.retain(|s| now - s.taken_at < 3 * decay);
        let known = self.samples.iter().position(|s| s.slot == slot);
        let lateness = known.map_or(lateness, |i| 0.5 * (self.samples[i].lateness + lateness));
        let sample = LatenessSample { slot, lateness, taken_at: now };
        let oldest = (0..self.samples.len()).min_by_key(|&i| self.samples[i].taken_at);
        match known.or(oldest.filter(|_| self.samples.len() == FLEET_SAMPLE)) {
            Some(i) => self.samples[i] = sample,
            None => self.samples.push(sample),
        }
        let weight = |s: &LatenessSample| (-((now - s.taken_at) as f64) / decay as f64).exp();
        let weighted = self.samples.iter().map(|s| (s.lateness, weight(s)));
        let mut weighted: SmallVec<[(f64, f64); FLEET_SAMPLE]> = weighted.collect();
        weighted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        weighted.truncate(weighted.len() - weighted.len() / 3);
        let total = weighted.iter().map(|s| s.1).sum::<f64>() + ON_TIME_PRIOR;
        self.mean = weighted.iter().map(|s| s.0 * s.1).sum::<f64>() / total;
        self.updated_at = now;
    }
}

impl Balancer {
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
        let kept = (-gap_s / RATE_WINDOW_S).exp();
        self.request_rate = self.request_rate * kept + (1.0 - kept) / gap_s;
        self.last_request = self.now;
        let budget = &mut self.retry_budget;
        budget.saved = (budget.saved + budget.per_request).min(budget.max_saved);
        let usual_latency = relative_work * self.classes[class].mean_latency;
        let too_late = (new.time_left as f64) < MIN_TIME_LEFT * usual_latency;
        let shed_share = self.shed_share(class, new.over_quota);
        let shed_share = if too_late { 1.0 - MIN_ADMITTED_SHARE } else { shed_share };
        if self.uniform() < shed_share {
            let reason = if too_late { EndReason::TooLittleTime } else { EndReason::Overload };
            return self.end(id, reason, actions);
        }
        if !self.attempt(id, actions) {
            return self.end(id, EndReason::NoServer, actions);
        }
        let objective = self.settings.classes[class].latency_objective;
        self.set_timer(objective, Timer::Objective(id), actions);
        // Rule 1: whatever happens to its attempts, the request ends in time.
        self.set_timer(new.time_left, Timer::Deadline(id), actions);
    }

    /// The announced work beside the usual of its class; half of an answer time, about, grows with it.
    fn relative_work(&mut self, class: usize, hint: Option<Micros>) -> f64 {
        let Some(hint) = hint.filter(|&hint| hint > 0) else { return 1.0 };
        let (hint, mean) = (hint as f64, &mut self.classes[class].mean_work_hint);
        *mean = if *mean > 0.0 { *mean + EWMA_WEIGHT * (hint - *mean) } else { hint };
        0.5 + 0.5 * (hint / *mean).min(MAX_RELATIVE_WORK)
    }

    fn priority(&self, class: usize) -> f64 {
        let weight = self.settings.classes[class].priority_weight;
        match self.settings.priority_basis {
            PriorityBasis::Work => weight,
            PriorityBasis::Request => weight / self.classes[class].base_latency.max(1.0),
        }
    }

    /// The share of a class to shed at once. In overload, work of low priority would make late what has a high one: the
    /// lower the priority beside the highest, the sooner a class is shed. Among equals an early rejection frees nothing
    /// for a better one. Over its tenant's quota a request has the priority that the settings say.
    fn shed_share(&self, class: usize, over_quota: bool) -> f64 {
        let priorities = (0..self.settings.classes.len()).map(|class| self.priority(class));
        let highest = priorities.fold(0.0, f64::max);
        let weight = if over_quota { self.settings.over_quota_weight } else { 1.0 };
        let log_below = (highest / (weight * self.priority(class)).max(1e-9)).ln().max(0.0);
        let start = (SHED_START - SHED_START_PER_LOG_PRIORITY * log_below).max(MIN_SHED_START);
        let age = self.now.saturating_sub(self.lateness.updated_at) as f64;
        let decay = (-age / (LATENESS_DECAY_OBJECTIVES * self.longest_objective)).exp();
        ((self.lateness.mean * decay - start) / SHED_RANGE).clamp(0.0, 1.0)
    }

    /// Takes an answer time in microseconds as a sample of how late the fleet's answers are.
    pub(super) fn record_lateness(&mut self, slot: Slot, class: usize, latency: f64) {
        let lateness = (2.0 * latency / self.objective(class) - 1.0).clamp(0.0, 1.4);
        let decay = (LATENESS_DECAY_OBJECTIVES * self.longest_objective) as Micros;
        self.lateness.record(slot, lateness, self.now, decay);
    }
}
