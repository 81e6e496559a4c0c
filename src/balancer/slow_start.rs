//! Slow start: a server that has just started gets less work, as all sidecars together can overload it.

use super::*;

impl Balancer {
    /// The share of its full capacity that a server surely has by now.
    pub(super) fn slow_start_weight(&self, server: &Server) -> f64 {
        if server.started_at == 0 {
            return 1.0;
        }
        let rules = &self.settings.rules;
        let age = self.now.saturating_sub(server.started_at) as f64;
        let warmed_up = (age / (rules.slow_start_window.max(1) as f64)).min(1.0);
        rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmed_up
    }
}
