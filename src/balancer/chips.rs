//! Confidence chips (Algorithm 1 of the paper): minted by load reports, spent by attempts, and removed when a server
//! reports a queue above its capacity.

use super::*;

/// Share of the capacity at which a server counts as fully utilized.
const FULL_UTILIZATION_SHARE: f64 = 0.8;
/// Window of the averages of reported queues (from the paper), in microseconds. No capacity is known before the end
/// of the first window.
const CAPACITY_WINDOW: Micros = 30_000_000;
/// Lower limit of a server's capacity, in queued requests. With an average near zero, the first queued request would
/// remove all chips.
const MIN_CAPACITY: f64 = 4.0;
/// Maximum number of chips per server. Enough for a burst, and few enough to be regained soon after their removal.
const MAX_CHIPS: u32 = 16;

/// Estimates a server's capacity as the average of its reported queues over the last complete window.
#[derive(Debug, Default)]
pub(super) struct CapacityEstimate {
    window_start: Micros,
    sum: f64,
    count: f64,
    /// Average of the last complete window; `None` before the end of the first.
    last: Option<f64>,
}

impl CapacityEstimate {
    fn add(&mut self, now: Micros, queue: f64) {
        if self.count == 0.0 {
            self.window_start = now;
        }
        self.sum += queue;
        self.count += 1.0;
        if now - self.window_start >= CAPACITY_WINDOW {
            self.last = Some(self.sum / self.count);
            (self.sum, self.count) = (0.0, 0.0);
        }
    }
}

impl Balancer {
    /// Returns whether a server holds a chip, or is tried without one: it has not responded within the reset interval,
    /// or never.
    pub(super) fn has_confidence(&self, server: &Server) -> bool {
        let is_old = |at: Micros| self.now - at > self.reset_interval;
        server.chips > 0 || server.last_response.is_none_or(is_old)
    }

    /// Takes a chip from a server that gets an attempt. An attempt without a chip restarts the reset interval.
    pub(super) fn spend_chip(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        if server.chips > 0 {
            server.chips -= 1;
        } else if server.last_response.is_some() {
            server.last_response = Some(self.now);
        }
    }

    /// Removes all chips of a server and restarts the reset interval.
    pub(super) fn clear_chips(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        server.chips = 0;
        server.last_response = Some(self.now);
    }

    /// Records a load report. Mints chips according to the reported queue, or removes all chips if it is above the
    /// server's capacity.
    pub(super) fn record_report(&mut self, slot: Slot, report: &LoadReport) {
        let value = |column: Option<usize>| {
            let value = column.and_then(|i| report.0.get(i)).copied()?;
            value.is_finite().then(|| f64::from(value.max(0.0)))
        };
        let (queue, load) =
            (value(self.queue_column), value(self.in_flight_column.or(self.queue_column)));
        let draws = (self.uniform(), self.uniform());
        let server = &mut self.servers[slot];
        if let Some(load) = load {
            (server.load, server.load_reported_at) = (load, self.now);
            ewma(&mut self.mean_load, EWMA_WEIGHT, load / server.weight);
        }
        let Some(queue) = queue else {
            // Without a reported queue, each response is taken as a sign that the server can take more requests.
            server.chips = (server.chips + 2).min(MAX_CHIPS);
            return;
        };
        server.capacity.add(self.now, queue);
        let utilization = match server.capacity.last.map(|c| c.max(MIN_CAPACITY)) {
            Some(capacity) if queue > capacity => return self.clear_chips(slot),
            Some(capacity) => queue / (FULL_UTILIZATION_SHARE * capacity),
            None => 0.0,
        };
        // A second draw mints more than one chip per response on average at low utilization. With less than one, even a
        // lightly loaded server would run out of chips.
        let minted = u32::from(draws.0 >= utilization) + u32::from(draws.1 >= 2.0 * utilization);
        server.chips = (server.chips + minted).min(MAX_CHIPS);
    }
}
