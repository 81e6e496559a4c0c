//! Locality: how much of the traffic spills over to remote zones where crossing has a price.

use super::*;

/// The least draw weight of remote servers: some are kept known, for when they are needed.
const MIN_REMOTE_WEIGHT: f64 = 0.05;
/// How much more loaded (a logarithm) the local zone may be for each point that crossing costs.
const LOAD_LOG_PER_POINT: f64 = 4.0;
/// How far a point of the price lowers the draw weight of remote servers before loads are known.
const INITIAL_WEIGHT_PER_POINT: f64 = 80.0;
/// Requests a second from which on spillover moves no faster.
const SPILLOVER_RATE_PER_S: f64 = 5.0;

impl Balancer {
    pub(super) fn is_remote(&self, server: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && server.zone != self.settings.zone
    }

    pub(super) fn initial_locality_weight(&self, server: &Server) -> f64 {
        let price = self.settings.prices.cross_zone.max(0.0);
        if self.is_remote(server) { 1.0 / (1.0 + INITIAL_WEIGHT_PER_POINT * price) } else { 1.0 }
    }

    pub(super) fn locality_weight(&self, server: &Server) -> f64 {
        let spillover = server.spillover_weight.filter(|_| self.is_remote(server));
        spillover.unwrap_or_else(|| self.initial_locality_weight(server))
    }

    /// With many zones even a low weight of each remote server would make most draws remote.
    pub(super) fn update_min_remote_weight(&mut self) {
        let is_remote = |&&slot: &&Slot| self.is_remote(&self.servers[slot]);
        let remote = self.ready.slots.iter().filter(is_remote).count();
        let local = (self.ready.slots.len() - remote).max(1) as f64;
        self.min_remote_weight = MIN_REMOTE_WEIGHT * (local / remote.max(1) as f64).min(1.0);
    }

    pub(super) fn load_log(&self, server: &Server) -> f64 {
        let price = if self.is_remote(server) { self.settings.prices.cross_zone } else { 0.0 };
        LOAD_LOG_PER_POINT * price
    }

    /// Takes the load that an answer shows. How much spills over to a remote server moves with its load beside the
    /// local one, towards a slightly higher local load. Each has a weight of its own: together the idle ones would
    /// look as loaded as the zone of another sidecar, and stay idle. Harmful where a remote server's few answers are
    /// heavy.
    pub(super) fn update_spillover(&mut self, slot: Slot, load: f64) {
        // Steps that a quiet sidecar needs would swing all of a busy one's traffic within a moment.
        if !self.is_remote(&self.servers[slot]) {
            let rate = self.request_rate.max(1e-9);
            let pace = (SPILLOVER_RATE_PER_S / rate).clamp(0.1, 1.0);
            return ewma(&mut self.local_load, EWMA_WEIGHT * pace, load);
        }
        let (before, load_log) =
            (self.locality_weight(&self.servers[slot]), self.load_log(&self.servers[slot]));
        let server = &mut self.servers[slot];
        let gap_s = self.now.saturating_sub(server.spillover_updated_at) as f64 / 1e6;
        let pace = (SPILLOVER_RATE_PER_S * gap_s).min(1.0);
        server.spillover_updated_at = self.now;
        ewma(&mut server.remote_load, EWMA_WEIGHT * pace.max(0.1), load);
        let pull = (self.local_load / server.remote_load).ln() - load_log;
        let moved = before * (0.5 * pace * pull.clamp(-1.0, 1.0)).exp();
        server.spillover_weight = Some(moved.clamp(self.min_remote_weight, 1.0));
    }
}
