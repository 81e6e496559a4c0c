//! Selection (Algorithm 3 of the paper): two random picks, by weight, among the servers of this sidecar's subset.

use super::*;

/// Draws for each of the two picks. With half of the servers ejected, one in 250 picks finds none.
const REDRAWS: usize = 8;
/// Up to here a server may look slow by chance: a dozen answers with a spread of once their mean.
const LATENCY_TOLERANCE: f64 = 1.6;
/// The time constant with which a load report fades, in longest latency objectives.
const REPORT_DECAY_OBJECTIVES: f64 = 2.0;
/// The least size of a subset: two bad servers must leave a choice, and the load of subsets must even out.
const MIN_SUBSET_SIZE: usize = 5;
/// What the open connections of all subsets may cost, in points of the result.
const CONNECTION_BUDGET_POINTS: f64 = 0.05;
/// Points of a server of mean weight on the hash ring.
const RING_POINTS_PER_SERVER: f64 = 16.0;
/// With fewer servers than this in its own zone, a sidecar puts keys on servers of all zones.
const MIN_LOCAL_RING_SERVERS: usize = 3;
/// How many of the last affinity keys are remembered.
pub(super) const RECENT_KEYS: usize = 64;

/// What the draws for a request have found.
#[derive(Clone, Copy, Debug, Default)]
struct DrawnServers {
    /// The less used of those with chips.
    best: Option<Slot>,
    /// The less used of those without.
    without_chips: Option<Slot>,
    /// The first that was passed over, as it is slow or fails.
    avoided: Option<Slot>,
}

/// The servers that are left where no draw found one.
#[derive(Debug, Default)]
struct FallbackCandidates {
    warm: Vec<Slot>,
    /// In slow start.
    warming: Vec<Slot>,
    /// Ejected, and tried with one idempotent request at a time.
    trials: Vec<Slot>,
}

impl Balancer {
    /// The server for an attempt of a request; None if there is none that may get it.
    pub(super) fn pick(&mut self, request: &Request) -> Option<Slot> {
        if self.ready.slots.is_empty() {
            return None;
        }
        self.refresh_weights();
        let owner = self.ring_owner(request.affinity_key);
        let panic = self.in_panic();
        // When most servers have no chips, redraws and retries would pile onto those that are warming up and still
        // have confidence. These can only be met on the first draw of the first attempt.
        let may_use_warming = request.attempts.is_empty() && self.may_use_warming();
        let mut drawn = DrawnServers::default();
        for pick in 0..2 {
            for redraw in 0..REDRAWS {
                let slot = self.draw(&drawn, owner.filter(|_| redraw == 0 && pick == 0), redraw);
                let Some(slot) = slot else { continue };
                let is_warming = self.slow_start_weight(&self.servers[slot]) < 1.0;
                if is_warming && (redraw > 0 || !may_use_warming) {
                    continue;
                }
                if self.consider(request, slot, panic, &mut drawn) {
                    break;
                }
            }
        }
        let DrawnServers { best, without_chips, avoided } = drawn;
        // Where servers reject what they have no capacity for, nothing is late, and requests over a quota would take
        // the places of others. Without a chip they are rejected. Harmful where no server reports.
        if request.over_quota {
            return best;
        }
        let found = best.or(without_chips).or(avoided);
        found.or_else(|| self.pick_fallback(request, panic, may_use_warming))
    }

    /// Draws a server by weight, or takes the owner of the request's key; None if the owner is passed over.
    fn draw(&mut self, drawn: &DrawnServers, owner: Option<Slot>, redraw: usize) -> Option<Slot> {
        // A subset without an available server is left for the whole fleet; a full one is not.
        let leave_subset = redraw >= REDRAWS / 2 && drawn.best.or(drawn.without_chips).is_none();
        let position = self.uniform();
        let Some(owner) = owner else {
            return Some(if leave_subset { &self.ready } else { &self.subset }.at(position));
        };
        // A server that is warming up must not get all of the keys that it owns.
        let warm = self.slow_start_weight(&self.servers[owner]);
        let passed_over = warm < 1.0 && self.uniform() > warm;
        (!passed_over).then_some(owner)
    }

    /// Notes what a drawn server is to a request. Returns whether it is one with chips that may get it.
    fn consider(
        &mut self,
        request: &Request,
        slot: Slot,
        panic: bool,
        drawn: &mut DrawnServers,
    ) -> bool {
        let available = self.is_available(&self.servers[slot], panic);
        if drawn.best == Some(slot) || !available || !self.may_use(request, slot) {
            return false;
        }
        if self.passes_over(request, slot) {
            // Where nearly all draws are passed over, a request would find no server.
            drawn.avoided.get_or_insert(slot);
            return false;
        }
        let has_chips = self.has_confidence(&self.servers[slot]);
        let place = if has_chips { &mut drawn.best } else { &mut drawn.without_chips };
        *place = Some(self.less_used(*place, slot));
        has_chips
    }

    fn may_use(&self, request: &Request, slot: Slot) -> bool {
        let used = request.attempts.iter().any(|a| a.slot == slot);
        !used && self.may_attempt(request, &self.servers[slot])
    }

    /// Passes a server over at random: the slower beside its peers, or the more it fails, the more often. One that is
    /// slow but answers would keep its share and make it late.
    fn passes_over(&mut self, request: &Request, slot: Slot) -> bool {
        let server = &self.servers[slot];
        let slowness = (server.relative_latency / LATENCY_TOLERANCE).max(1.0);
        let taken = (1.0 - self.fault_avoidance(request, server)) / (slowness * slowness);
        taken < 1.0 && self.uniform() > taken
    }

    /// Picks where no draw found a server: with the local zone ejected, nearly all draws fall on it while remote
    /// servers stand idle. The less used of two of those left is taken.
    fn pick_fallback(
        &mut self,
        request: &Request,
        panic: bool,
        may_use_warming: bool,
    ) -> Option<Slot> {
        let draws = [(); 3].map(|()| self.uniform());
        let mut left = self.fallback_candidates(request, panic);
        let takes_warming = may_use_warming && self.warming_turn(&left, draws[2]);
        if !takes_warming {
            left.warming.clear();
        } else if !left.warming.is_empty() {
            left.warm.clear();
        }
        let tiers = [&left.warm, &left.warming, &left.trials];
        let slots = tiers.into_iter().find(|slots| !slots.is_empty())?;
        Some(
            self.less_used(
                Some(self.at_capacity(slots, draws[0])),
                self.at_capacity(slots, draws[1]),
            ),
        )
    }

    /// The servers that the request may use, by what they are to it.
    fn fallback_candidates(&self, request: &Request, panic: bool) -> FallbackCandidates {
        let safety = self.settings.classes[request.class].retry_safety;
        let may_try = |s: &Server| safety == RetrySafety::Idempotent && s.in_flight == 0;
        let mut candidates = FallbackCandidates::default();
        for &slot in self.ready.slots.iter().filter(|&&slot| self.may_use(request, slot)) {
            let server = &self.servers[slot];
            let is_warming = self.slow_start_weight(server) < 1.0;
            let tier = match (self.is_available(server, panic), is_warming) {
                (true, false) => &mut candidates.warm,
                (true, true) => &mut candidates.warming,
                (false, false) if may_try(server) => &mut candidates.trials,
                (false, _) => continue,
            };
            tier.push(slot);
        }
        candidates
    }

    /// Whether a first attempt goes to a server that is warming up. Beside warm ones, of which a single one would
    /// drown, these get their due; where no warm one is left, no oftener than brings them twice that: a fleet that
    /// lost the others would overload them.
    fn warming_turn(&self, left: &FallbackCandidates, draw: f64) -> bool {
        let most = if left.warm.is_empty() { 2.0 } else { 1.0 };
        draw * self.total_capacity(&self.ready.slots) <= most * self.total_capacity(&left.warming)
    }

    pub(super) fn total_capacity(&self, slots: &[Slot]) -> f64 {
        slots.iter().map(|&slot| self.available_weight(&self.servers[slot])).sum()
    }

    /// The server at a position from 0 up to 1 of the sum of capacities.
    fn at_capacity(&self, slots: &[Slot], position: f64) -> Slot {
        let mut target = position * self.total_capacity(slots);
        let found = slots.iter().find(|&&slot| {
            target -= self.available_weight(&self.servers[slot]);
            target < 0.0
        });
        *found.unwrap_or(&slots[0])
    }

    /// The less used of two servers by our own count; the last reports settle a tie.
    fn less_used(&self, first: Option<Slot>, second: Slot) -> Slot {
        let Some(first) = first else { return second };
        let [a, b] = [first, second].map(|slot| &self.servers[slot]);
        let used = |s: &Server| f64::from(s.in_flight) / (s.weight * self.slow_start_weight(s));
        let (used_a, used_b) = (used(a), used(b));
        let first_is_less = used_a < used_b || (used_a == used_b && self.cost(a) <= self.cost(b));
        if first_is_less { first } else { second }
    }

    /// A server's load beyond our own count: its last report, fading towards the mean. An unknown server must look
    /// usual, or a new one would draw all or none.
    fn cost(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.load_reported_at) as f64;
        let fresh = (-age / (REPORT_DECAY_OBJECTIVES * self.longest_objective)).exp();
        let load = server.load / (server.weight * self.slow_start_weight(server));
        let expected = 1.0 + fresh * load + (1.0 - fresh) * self.mean_load;
        expected * server.relative_latency * self.load_log(server).exp()
    }

    pub(super) fn listed_weight(&self, server: &Server) -> f64 {
        match self.settings.weight_kind {
            WeightKind::Nominal | WeightKind::Approximate => server.weight,
            WeightKind::Unspecified | WeightKind::Live => 1.0,
        }
    }

    /// What a server surely can take, as far as its size and start tell. Drawn by this capacity, one that is warming
    /// up gets its due even if all sidecars do the same.
    pub(super) fn available_weight(&self, server: &Server) -> f64 {
        self.listed_weight(server) * self.slow_start_weight(server)
    }

    /// Chooses this sidecar's subset by rendezvous hashing, sized by what it can keep fresh. A quiet sidecar that
    /// sends to the whole fleet hears of a server once in a minute, and thousands fill the servers' connection tables.
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

    fn subset_rank(&self, server: &Server) -> f64 {
        let u = unit_interval(hash(server.id.0 ^ hash(u64::from(self.settings.instance))));
        -u.max(f64::MIN_POSITIVE).ln() / self.initial_locality_weight(server)
    }

    fn subset_size(&self, servers: usize) -> usize {
        let mut size = MIN_SUBSET_SIZE;
        // Open connections can cost more than the choice earns: the subset is cut to what a set price buys.
        if self.settings.prices.connection > 0.0 {
            let each = self.settings.prices.connection * f64::from(self.settings.instances);
            let budget = CONNECTION_BUDGET_POINTS * 100.0 * servers as f64 / each.max(1e-9);
            size = size.min((budget as usize).max(2));
        }
        // The few busy sidecars together on few servers would overload one that is warming up.
        size.max((self.request_rate * self.reset_interval as f64 / 1e6) as usize)
    }

    /// Kept apart by their keys, requests reach every server from every sidecar: where connections have a price there
    /// is no ring, as where keys are of no use.
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

    /// The server that owns a key, the same at all sidecars of a zone. The owner of a hot key would drown, and such a
    /// key is cached everywhere. One that this sidecar met lately is hot.
    pub(super) fn ring_owner(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.recent_keys.contains(&key) {
            return None;
        }
        let target = hash(!key);
        let index = self.ring.partition_point(|&(point, _)| point < target);
        Some(self.ring[index % self.ring.len()].1)
    }

    pub(super) fn refresh_weights(&mut self) {
        if self.request_rate > 2.0 * self.subset_rate.max(1.0) {
            self.rebuild_subset();
        } else if self.now - self.weights_built_at > self.settings.rules.slow_start_window / 64 {
            self.rebuild_weights();
        }
    }

    fn rebuild_weights(&mut self) {
        self.weights_built_at = self.now;
        self.update_recent_capacity();
        self.ready.sums = self.running_sums(&self.ready.slots);
        self.subset.sums = self.running_sums(&self.subset.slots);
        let fault_rates = self.subset.slots.iter().map(|&slot| self.servers[slot].fault_rate);
        let mut fault_rates: SmallVec<[f64; FLEET_SAMPLE]> = fault_rates.collect();
        fault_rates.sort_unstable_by(f64::total_cmp);
        self.baseline_fault_rate = fault_rates.get(fault_rates.len() / 3).copied().unwrap_or(0.0);
    }

    fn running_sums(&self, slots: &[Slot]) -> Vec<f64> {
        let mut sum = 0.0;
        let add = |&slot: &Slot| {
            let server = &self.servers[slot];
            sum += self.available_weight(server) * self.locality_weight(server);
            sum
        };
        slots.iter().map(add).collect()
    }
}
