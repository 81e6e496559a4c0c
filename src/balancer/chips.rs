//! Confidence chips (Algorithm 1 of the paper): minted from reported queues, spent by attempts, wiped past capacity.

use super::*;

/// A reported queue is measured against this share of the capacity.
const CAPACITY_SHARE: f64 = 0.8;
/// The paper's window for averages of reported queues, and how long no capacity is known.
const CAPACITY_WINDOW: Micros = 30_000_000;
/// The least capacity of a server, in queued requests: an average near zero would wipe chips at the first request.
const MIN_CAPACITY: f64 = 4.0;
/// Chips a server can hold here: enough for a burst, few enough that a wipe costs little to regain.
const MAX_CHIPS: u32 = 16;

/// A server's capacity: the average of its reported queues over the last full window.
#[derive(Debug, Default)]
pub(super) struct CapacityEstimate {
    window_start: Micros,
    sum: f64,
    count: f64,
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
    /// Whether a server holds a chip, or has not been heard of for so long that it gets a trial.
    pub(super) fn has_confidence(&self, server: &Server) -> bool {
        let is_old = |at: Micros| self.now - at > self.reset_interval;
        server.chips > 0 || server.last_response.is_none_or(is_old)
    }

    pub(super) fn spend_chip(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        if server.chips > 0 {
            server.chips -= 1;
        } else if server.last_response.is_some() {
            server.last_response = Some(self.now);
        }
    }

    pub(super) fn wipe_chips(&mut self, slot: Slot) {
        let server = &mut self.servers[slot];
        server.chips = 0;
        server.last_response = Some(self.now);
    }

    /// Takes a load report: mints chips from the queue, or wipes them when it is past capacity.
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
            // No queue reported: an answer in itself is the sign that another may follow.
            server.chips = (server.chips + 2).min(MAX_CHIPS);
            return;
        };
        server.capacity.add(self.now, queue);
        let utilization = match server.capacity.last.map(|c| c.max(MIN_CAPACITY)) {
            Some(capacity) if queue > capacity => return self.wipe_chips(slot),
            Some(capacity) => queue / (CAPACITY_SHARE * capacity),
            None => 0.0,
        };
        // Less than one chip minted on average would starve a server that is hardly loaded: a second draw.
        let minted = u32::from(draws.0 >= utilization) + u32::from(draws.1 >= 2.0 * utilization);
        server.chips = (server.chips + minted).min(MAX_CHIPS);
    }
}
