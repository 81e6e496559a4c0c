//! Locality: spillover of traffic to remote zones where cross-zone attempts have a price.

use super::*;

/// Lower limit of the locality weight of remote servers. Some traffic keeps their state known for a spillover.
const MIN_REMOTE_WEIGHT: f64 = 0.05;
/// Tolerated excess of the local load over the remote load, as a natural logarithm, per point of the cross-zone price.
const LOAD_LOG_PER_PRICE_POINT: f64 = 4.0;
/// Reduction of the locality weight of remote servers per point of the cross-zone price, while no loads are known: the
/// weight is 1 / (1 + this x price).
const INITIAL_WEIGHT_REDUCTION_PER_PRICE_POINT: f64 = 80.0;
/// Request rate, per second, above which the spillover adapts no faster.
const SPILLOVER_RATE_PER_S: f64 = 5.0;

impl Balancer {
    /// Returns whether attempts to a server are cross-zone and have a price.
    pub(super) fn is_remote(&self, server: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && server.zone != self.settings.zone
    }

    /// Returns the locality weight of a server before its first response; 1 in the local zone.
    pub(super) fn initial_locality_weight(&self, server: &Server) -> f64 {
        let price = self.settings.prices.cross_zone.max(0.0);
        if self.is_remote(server) {
            1.0 / (1.0 + INITIAL_WEIGHT_REDUCTION_PER_PRICE_POINT * price)
        } else {
            1.0
        }
    }

    /// Returns the factor of the selection weight that accounts for the zone of a server; 1 in the local zone.
    pub(super) fn locality_weight(&self, server: &Server) -> f64 {
        let spillover = server.spillover_weight.filter(|_| self.is_remote(server));
        spillover.unwrap_or_else(|| self.initial_locality_weight(server))
    }

    /// Updates the lower limit of the weight of remote servers. It falls with their number: with many zones, even a low
    /// weight of each remote server would make most draws remote.
    pub(super) fn update_min_remote_weight(&mut self) {
        let is_remote = |&&slot: &&Slot| self.is_remote(&self.servers[slot]);
        let remote = self.ready.slots.iter().filter(is_remote).count();
        let local = (self.ready.slots.len() - remote).max(1) as f64;
        self.min_remote_weight = MIN_REMOTE_WEIGHT * (local / remote.max(1) as f64).min(1.0);
    }

    /// Returns the tolerated excess of the local load over the load of a server, as a natural logarithm; 0 in the local
    /// zone.
    pub(super) fn tolerated_load_log(&self, server: &Server) -> f64 {
        let price = if self.is_remote(server) { self.settings.prices.cross_zone } else { 0.0 };
        LOAD_LOG_PER_PRICE_POINT * price
    }

    /// Records the load estimated from a response.
    ///
    /// The spillover weight of a remote server follows the ratio of the local load to its load, and settles where the
    /// local load is slightly higher. Each remote server has its own weight: with a common one, idle remote servers
    /// would look as loaded as those of a busy zone and stay unused. Known weakness: the few responses of a remote
    /// server may all be of expensive requests.
    pub(super) fn update_spillover(&mut self, slot: Slot, load: f64) {
        // The step size falls with the request rate: the steps that a sidecar with little traffic needs would make all
        // traffic of a busy one swing between the zones at once.
        if !self.is_remote(&self.servers[slot]) {
            let rate = self.request_rate.max(1e-9);
            let pace = (SPILLOVER_RATE_PER_S / rate).clamp(0.1, 1.0);
            return ewma(&mut self.local_load, EWMA_WEIGHT * pace, load);
        }
        let (before, tolerated) = (
            self.locality_weight(&self.servers[slot]),
            self.tolerated_load_log(&self.servers[slot]),
        );
        let server = &mut self.servers[slot];
        let gap_s = self.now.saturating_sub(server.spillover_updated_at) as f64 / 1e6;
        let pace = (SPILLOVER_RATE_PER_S * gap_s).min(1.0);
        server.spillover_updated_at = self.now;
        ewma(&mut server.remote_load, EWMA_WEIGHT * pace.max(0.1), load);
        let imbalance = libm::log(self.local_load / server.remote_load) - tolerated;
        let weight = before * libm::exp(0.5 * pace * imbalance.clamp(-1.0, 1.0));
        server.spillover_weight = Some(weight.clamp(self.min_remote_weight, 1.0));
    }
}
