//! Server selection (Algorithm 3 of the paper): the better of two weighted random picks from this sidecar's subset.

use super::*;

/// Maximum number of draws for each of the two picks. With half of the servers ejected, one in 250 picks finds none.
const DRAWS_PER_PICK: usize = 8;
/// Relative latency up to which a server does not count as slow. A dozen latencies with a standard deviation equal to
/// their mean reach it by chance.
const LATENCY_TOLERANCE: f64 = 1.6;
/// Time constant of the decay of a load report towards the mean load, as a multiple of the longest latency objective.
const REPORT_DECAY_OBJECTIVES: f64 = 2.0;
/// Minimum size of a subset. Two bad servers must leave a choice, and the subsets of all sidecars must load the servers
/// evenly.
const MIN_SUBSET_SIZE: usize = 5;
/// Budget for the open connections of all sidecars, in points of the service's score.
const CONNECTION_BUDGET_POINTS: f64 = 0.05;
/// Number of points on the hash ring of a server of mean weight.
const RING_POINTS_PER_SERVER: f64 = 16.0;
/// Minimum number of servers in the local zone for a ring of local servers only. With fewer, the ring has the servers
/// of all zones.
const MIN_LOCAL_RING_SERVERS: usize = 3;
/// Maximum length of `Balancer::recent_keys`.
pub(super) const MAX_RECENT_KEYS: usize = 64;

/// The best candidates that the draws for a request have found so far.
#[derive(Clone, Copy, Debug, Default)]
struct DrawnServers {
    /// The less used of those that hold chips.
    with_chips: Option<Slot>,
    /// The less used of those without chips.
    without_chips: Option<Slot>,
    /// The first one that was passed over for being slow or faulty.
    passed_over: Option<Slot>,
}

/// The servers that may still get a request for which no draw has found a server.
#[derive(Debug, Default)]
struct FallbackCandidates {
    /// Available and warmed up.
    warm: Vec<Slot>,
    /// Available and in slow start.
    warming: Vec<Slot>,
    /// Ejected. They are tried with one idempotent request at a time.
    trials: Vec<Slot>,
}

impl Balancer {
    /// Selects the server for an attempt of a request; `None` if no server may get it.
    pub(super) fn select_server(&mut self, request: &Request) -> Option<Slot> {
        if self.ready.slots.is_empty() {
            return None;
        }
        self.refresh_weights();
        let owner = self.ring_owner(request.affinity_key);
        let panic = self.in_panic();
        // When most servers have no chips, redraws and retries would concentrate on the servers that are warming up
        // and still hold chips. So those are eligible only in the first draw of a pick, for the first attempt.
        let may_use_warming = request.attempts.is_empty() && self.may_use_warming();
        let mut drawn = DrawnServers::default();
        for pick in 0..2 {
            for redraw in 0..DRAWS_PER_PICK {
                let slot = self.draw(&drawn, owner.filter(|_| redraw == 0 && pick == 0), redraw);
                let Some(slot) = slot else { continue };
                let is_warming = self.slow_start_weight(&self.servers[slot]) < 1.0;
                if is_warming && (redraw > 0 || !may_use_warming) {
                    continue;
                }
                if self.record_candidate(request, slot, panic, &mut drawn) {
                    break;
                }
            }
        }
        let DrawnServers { with_chips, without_chips, passed_over } = drawn;
        // Servers that reject requests beyond their capacity have no late responses that would cause load shedding, so
        // requests over a quota would take the capacity of others. They are rejected unless a server holds chips. Known
        // weakness: a fleet without load reports.
        if request.over_quota {
            return with_chips;
        }
        let found = with_chips.or(without_chips).or(passed_over);
        found.or_else(|| self.pick_fallback(request, panic, may_use_warming))
    }

    /// Draws a server by weight, or returns the owner of the request's affinity key; `None` if the owner is passed
    /// over.
    fn draw(&mut self, drawn: &DrawnServers, owner: Option<Slot>, redraw: usize) -> Option<Slot> {
        // The later draws are from all ready servers if the subset seems to have no available server. Servers without
        // chips count as available.
        let leave_subset =
            redraw >= DRAWS_PER_PICK / 2 && drawn.with_chips.or(drawn.without_chips).is_none();
        let position = self.uniform();
        let Some(owner) = owner else {
            return Some(if leave_subset { &self.ready } else { &self.subset }.at(position));
        };
        // A server in slow start gets only a part of the requests for the keys that it owns.
        let weight = self.slow_start_weight(&self.servers[owner]);
        let passed_over = weight < 1.0 && self.uniform() > weight;
        (!passed_over).then_some(owner)
    }

    /// Records a drawn server as a candidate for a request. Returns whether it may get the request and holds chips,
    /// which ends the pick.
    fn record_candidate(
        &mut self,
        request: &Request,
        slot: Slot,
        panic: bool,
        drawn: &mut DrawnServers,
    ) -> bool {
        let available = self.is_available(&self.servers[slot], panic);
        if drawn.with_chips == Some(slot) || !available || !self.may_use(request, slot) {
            return false;
        }
        if self.is_passed_over(request, slot) {
            // Used only if no draw finds a server that is not passed over.
            drawn.passed_over.get_or_insert(slot);
            return false;
        }
        let has_chips = self.has_confidence(&self.servers[slot]);
        let candidate = if has_chips { &mut drawn.with_chips } else { &mut drawn.without_chips };
        *candidate = Some(self.less_used(*candidate, slot));
        has_chips
    }

    /// Returns whether a server may get the next attempt of a request. It must not have had one before.
    fn may_use(&self, request: &Request, slot: Slot) -> bool {
        let used = request.attempts.iter().any(|a| a.slot == slot);
        !used && self.may_attempt(request, &self.servers[slot])
    }

    /// Decides at random whether to pass over a server. The probability grows with its relative latency and its fault
    /// rate. Without this, a slow server that still responds would keep its share of the requests and make them late.
    fn is_passed_over(&mut self, request: &Request, slot: Slot) -> bool {
        let server = &self.servers[slot];
        let slowness = (server.relative_latency / LATENCY_TOLERANCE).max(1.0);
        let acceptance = (1.0 - self.fault_avoidance(request, server)) / (slowness * slowness);
        acceptance < 1.0 && self.uniform() > acceptance
    }

    /// Selects a server when no draw has found one: the less used of two random ones among the remaining candidates.
    /// This happens when the local zone is ejected, as nearly all draws fall on it while remote servers are idle.
    fn pick_fallback(
        &mut self,
        request: &Request,
        panic: bool,
        may_use_warming: bool,
    ) -> Option<Slot> {
        let draws = [(); 3].map(|()| self.uniform());
        let mut candidates = self.fallback_candidates(request, panic);
        let uses_warming = may_use_warming && self.selects_warming(&candidates, draws[2]);
        if !uses_warming {
            candidates.warming.clear();
        } else if !candidates.warming.is_empty() {
            candidates.warm.clear();
        }
        let groups = [&candidates.warm, &candidates.warming, &candidates.trials];
        let slots = groups.into_iter().find(|slots| !slots.is_empty())?;
        Some(
            self.less_used(
                Some(self.at_position(slots, draws[0])),
                self.at_position(slots, draws[1]),
            ),
        )
    }

    /// Returns the servers that may get the request, by group.
    fn fallback_candidates(&self, request: &Request, panic: bool) -> FallbackCandidates {
        let safety = self.settings.classes[request.class].retry_safety;
        let may_try = |s: &Server| safety == RetrySafety::Idempotent && s.in_flight == 0;
        let mut candidates = FallbackCandidates::default();
        for &slot in self.ready.slots.iter().filter(|&&slot| self.may_use(request, slot)) {
            let server = &self.servers[slot];
            let is_warming = self.slow_start_weight(server) < 1.0;
            let group = match (self.is_available(server, panic), is_warming) {
                (true, false) => &mut candidates.warm,
                (true, true) => &mut candidates.warming,
                (false, false) if may_try(server) => &mut candidates.trials,
                (false, _) => continue,
            };
            group.push(slot);
        }
        candidates
    }

    /// Decides by a random number whether a first attempt goes to a server that is warming up.
    ///
    /// Beside warm servers, those that are warming up get their share of the requests: otherwise a single warm server
    /// would be overloaded. If no warm server is left, they get at most twice that share: the load of a fleet that has
    /// lost its other servers would overload them.
    fn selects_warming(&self, candidates: &FallbackCandidates, draw: f64) -> bool {
        let max_multiple = if candidates.warm.is_empty() { 2.0 } else { 1.0 };
        draw * self.total_capacity(&self.ready.slots)
            <= max_multiple * self.total_capacity(&candidates.warming)
    }

    /// Returns the sum of the available weights of servers.
    pub(super) fn total_capacity(&self, slots: &[Slot]) -> f64 {
        slots.iter().map(|&slot| self.available_weight(&self.servers[slot])).sum()
    }

    /// Returns the server at a position, in the range [0, 1), of the cumulative available weight.
    fn at_position(&self, slots: &[Slot], position: f64) -> Slot {
        let mut target = position * self.total_capacity(slots);
        let found = slots.iter().find(|&&slot| {
            target -= self.available_weight(&self.servers[slot]);
            target < 0.0
        });
        *found.unwrap_or(&slots[0])
    }

    /// Returns the less used of two servers by this sidecar's attempts in flight. The expected load decides a tie.
    fn less_used(&self, first: Option<Slot>, second: Slot) -> Slot {
        let Some(first) = first else { return second };
        let [a, b] = [first, second].map(|slot| &self.servers[slot]);
        let used = |s: &Server| f64::from(s.in_flight) / (s.weight * self.slow_start_weight(s));
        let (used_a, used_b) = (used(a), used(b));
        let first_is_less_used =
            used_a < used_b || (used_a == used_b && self.expected_load(a) <= self.expected_load(b));
        if first_is_less_used { first } else { second }
    }

    /// Estimates the load of a server from its last report, which decays towards the mean load of all servers. A server
    /// without a report counts as average: otherwise a new server would get all requests or none.
    fn expected_load(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.load_reported_at) as f64;
        let fresh = libm::exp(-age / (REPORT_DECAY_OBJECTIVES * self.longest_objective));
        let load = server.load / (server.weight * self.slow_start_weight(server));
        let expected = 1.0 + fresh * load + (1.0 - fresh) * self.mean_load;
        expected * server.relative_latency * libm::exp(self.tolerated_load_log(server))
    }

    /// Returns the weight of a server by its size according to discovery; 1 if the listed weights do not express sizes.
    pub(super) fn listed_weight(&self, server: &Server) -> f64 {
        match self.settings.weight_kind {
            WeightKind::Nominal | WeightKind::Approximate => server.weight,
            WeightKind::Unspecified | WeightKind::Live => 1.0,
        }
    }

    /// Returns the capacity that a server has at least, by its size and its slow start. Drawn by this weight, a
    /// server in slow start gets no more than it can serve, even if all sidecars do the same.
    pub(super) fn available_weight(&self, server: &Server) -> f64 {
        self.listed_weight(server) * self.slow_start_weight(server)
    }

    /// Selects this sidecar's subset by rendezvous hashing. The size depends on its request rate: a sidecar with little
    /// traffic that sends to the whole fleet would get a load report of each server only once in a minute, and the
    /// connections of thousands of such sidecars would fill the servers' connection tables.
    pub(super) fn rebuild_subset(&mut self) {
        let ready = |&slot: &Slot| self.servers[slot].health == Health::Ready;
        self.ready.slots = (0..self.servers.len()).filter(ready).collect();
        self.update_min_remote_weight();
        let rank = |&slot: &Slot| (self.subset_rank(&self.servers[slot]), slot);
        let mut ranked: Vec<(f64, Slot)> = self.ready.slots.iter().map(rank).collect();
        self.subset_rate = self.request_rate;
        let size = self.subset_size(ranked.len());
        if size < ranked.len() {
            ranked.select_nth_unstable_by(size, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(size);
        }
        self.subset.slots = ranked.iter().map(|ranked| ranked.1).collect();
        self.ring = self.build_ring();
        self.rebuild_weights();
    }

    /// Returns the weighted rendezvous hash of a server for this instance. The lowest ranks form the subset.
    fn subset_rank(&self, server: &Server) -> f64 {
        let u = unit_interval(hash(server.id.0 ^ hash(u64::from(self.settings.instance))));
        -libm::log(u.max(f64::MIN_POSITIVE)) / self.initial_locality_weight(server)
    }

    /// Returns the size of the subset of a fleet with so many ready servers.
    fn subset_size(&self, servers: usize) -> usize {
        let mut size = MIN_SUBSET_SIZE;
        // Open connections can cost more than the wider choice is worth. If they have a price, the budget limits the
        // subset.
        if self.settings.prices.connection > 0.0 {
            let price = self.settings.prices.connection * f64::from(self.settings.instances);
            let affordable = CONNECTION_BUDGET_POINTS * 100.0 * servers as f64 / price.max(1e-9);
            size = size.min((affordable as usize).max(2));
        }
        // A busy sidecar needs a larger subset: a few busy sidecars on the same few servers would overload one that is
        // warming up.
        size.max((self.request_rate * self.reset_interval as f64 / 1e6) as usize)
    }

    /// Builds the hash ring. It is empty if servers do not benefit from affinity, or if connections have a price:
    /// distributing requests by key needs connections from every sidecar to every server.
    fn build_ring(&self) -> Vec<(u64, Slot)> {
        let (prices, traits) = (&self.settings.prices, &self.settings.service_traits);
        if !traits.key_affinity || prices.connection + prices.handshake > 0.0 {
            return Vec::new();
        }
        let is_local = |slot: &Slot| !self.is_remote(&self.servers[*slot]);
        let mut members = self.ready.slots.clone();
        if members.iter().filter(|&slot| is_local(slot)).count() >= MIN_LOCAL_RING_SERVERS {
            members.retain(is_local);
        }
        let weight = |&slot: &Slot| self.listed_weight(&self.servers[slot]);
        let mean = members.iter().map(weight).sum::<f64>() / members.len() as f64;
        let mut ring = Vec::new();
        for slot in members {
            let points = (RING_POINTS_PER_SERVER * weight(&slot) / mean).round().max(1.0) as u64;
            let id = self.servers[slot].id.0;
            ring.extend((1..=points).map(|n| (hash(id ^ hash(n)), slot)));
        }
        ring.sort_unstable();
        ring
    }

    /// Returns the server that owns an affinity key, which is the same at all sidecars of a zone; `None` without a
    /// key or for a hot key. A hot key would overload its owner, and is cached by all servers anyway. A key is hot if
    /// it is among this sidecar's recent keys.
    pub(super) fn ring_owner(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.recent_keys.contains(&key) {
            return None;
        }
        let target = hash(!key);
        let index = self.ring.partition_point(|&(point, _)| point < target);
        Some(self.ring[index % self.ring.len()].1)
    }

    /// Rebuilds the subset when the request rate has doubled, or else the weights when they are outdated by slow start.
    pub(super) fn refresh_weights(&mut self) {
        if self.request_rate > 2.0 * self.subset_rate.max(1.0) {
            self.rebuild_subset();
        } else if self.now - self.weights_built_at > self.settings.rules.slow_start_window / 64 {
            self.rebuild_weights();
        }
    }

    /// Recomputes the selection weights, the recent capacity and the baseline fault rate.
    fn rebuild_weights(&mut self) {
        self.weights_built_at = self.now;
        self.update_recent_capacity();
        self.ready.sums = self.cumulative_weights(&self.ready.slots);
        self.subset.sums = self.cumulative_weights(&self.subset.slots);
        let fault_rates = self.subset.slots.iter().map(|&slot| self.servers[slot].fault_rate);
        let mut fault_rates: SmallVec<[f64; FLEET_SAMPLE_SIZE]> = fault_rates.collect();
        fault_rates.sort_unstable_by(f64::total_cmp);
        self.baseline_fault_rate = fault_rates.get(fault_rates.len() / 3).copied().unwrap_or(0.0);
    }

    /// Returns the cumulative sums of the selection weights of servers.
    fn cumulative_weights(&self, slots: &[Slot]) -> Vec<f64> {
        let mut sum = 0.0;
        let add = |&slot: &Slot| {
            let server = &self.servers[slot];
            sum += self.available_weight(server) * self.locality_weight(server);
            sum
        };
        slots.iter().map(add).collect()
    }
}
