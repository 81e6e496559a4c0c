//! A simulated host with processes, random faults and a daemon that carries out the planner's actions.
//! After every call of the planner its actions are checked against invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::planner::{
    Action, DesiredState, FleetPolicy, ObservedProcess, Planner, ProcessId, RequestTotals,
    RollbackReason,
};
use fleet::stall::Stall;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::decision_hash::DecisionHash;
use crate::faults::FAULTS_END;

/// The simulated time between two calls of the planner.
pub const STEP: Duration = Duration::from_millis(100);
/// The simulated time within which the desired state must be reached once faults have stopped.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(360);

/// A simulated process and its future behaviour. Times are simulated.
#[derive(Clone, Debug)]
pub struct SimulatedProcess {
    pub process: ObservedProcess,
    /// The generation that it was started with, which is observed until its first report.
    pub started_with: u64,
    pub ready_at: Option<Duration>,
    pub reload: Option<(u64, Duration)>,
    pub hung: bool,
    /// The stall that the system shows once it hangs.
    pub visible_stall: Option<Stall>,
    /// The end of the time in which it is healthy and gets no CPU time.
    pub starved_until: Duration,
    pub ignores_signals: bool,
    /// Whether the daemon told it to exit, even if it ignores that.
    pub told_to_end: bool,
    pub ends_at: Option<Duration>,
    pub killed: bool,
}

impl SimulatedProcess {
    pub fn observed(&self) -> ObservedProcess {
        let generation =
            if self.process.awaiting_report { self.started_with } else { self.process.generation };
        ObservedProcess { generation, ..self.process.clone() }
    }

    /// Sends a report with `answered` more requests.
    fn report(&mut self, now: Duration, answered: u64, defect: Option<Defect>) {
        let process = &mut self.process;
        process.ready = true;
        process.awaiting_report = false;
        process.last_report_at = now;
        process.requests.total += answered;
        match defect {
            Some(Defect::FailsRequests) => process.requests.failed += answered,
            Some(Defect::RejectsRequests) => process.requests.rejected += answered,
            _ => {}
        }
    }

    pub fn is_serving(&self) -> bool {
        !self.process.draining && !self.killed && !self.told_to_end
    }
}

pub struct World {
    pub seed: u64,
    pub rng: StdRng,
    pub now: Duration,
    pub planner: Planner,
    pub policy: FleetPolicy,
    pub desired: DesiredState,
    pub processes: BTreeMap<u64, SimulatedProcess>,
    pub next: u64,
    /// The defects of generations that do not work.
    pub defects: BTreeMap<u64, Defect>,
    /// Generations that a process cannot apply without a restart.
    pub needing_restart: BTreeSet<u64>,
    pub generations: u64,
    /// The time from which more slots than the policy allows may be updating, for a while.
    pub limit_exceeded_since: Duration,
    pub log: Vec<String>,
    pub rolled_back: Vec<(u64, RollbackReason)>,
    pub completed: Vec<u64>,
    pub decisions: DecisionHash,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    Ends,
    NeverReady,
    FailsRequests,
    RejectsRequests,
}

pub const ALL_DEFECTS: [Defect; 4] =
    [Defect::Ends, Defect::NeverReady, Defect::FailsRequests, Defect::RejectsRequests];

pub fn policy() -> FleetPolicy {
    FleetPolicy {
        max_updating_share: 0.25,
        canary_period: Duration::from_secs(2),
        ..FleetPolicy::default()
    }
}

impl World {
    pub fn new(seed: u64, slots: usize) -> World {
        let desired = DesiredState {
            slots: (0..slots).map(|n| format!("s-{n}")).collect(),
            target: 1,
            stable: 1,
            target_program: 1,
            stable_program: 1,
            ..DesiredState::default()
        };
        World {
            seed,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            planner: Planner::new(policy(), seed),
            policy: policy(),
            desired,
            processes: BTreeMap::new(),
            next: 0,
            defects: BTreeMap::new(),
            needing_restart: BTreeSet::new(),
            generations: 1,
            limit_exceeded_since: Duration::ZERO,
            log: Vec::new(),
            rolled_back: Vec::new(),
            completed: Vec::new(),
            decisions: DecisionHash::new(),
        }
    }

    /// Fails the test, and prints the last entries of the log.
    pub fn fail(&self, what: &str) -> ! {
        let from = self.log.len().saturating_sub(60);
        panic!("seed {}, at {:?}: {what}\n{}", self.seed, self.now, self.log[from..].join("\n"));
    }

    pub fn check(&self, ok: bool, what: &str) {
        if !ok {
            self.fail(what);
        }
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns a random time from `from` to `to` milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Advances the simulated time by [`STEP`] and calls the planner.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.processes.retain(|_, process| process.ends_at.is_none_or(|end| end > now));
        let ids: Vec<u64> = self.processes.keys().copied().collect();
        for id in ids {
            self.advance_process(id);
        }
        let observed: Vec<ObservedProcess> =
            self.processes.values().map(SimulatedProcess::observed).collect();
        self.decisions.inputs(now, &self.desired, &observed);
        for action in self.planner.reconcile(now, &self.desired, &observed) {
            self.decisions.action(&action);
            self.log.push(format!("{now:?}: {action:?}"));
            self.carry_out(action);
        }
        self.check_limits();
    }

    /// Simulates a step of one process: it reports, answers requests and applies a configuration.
    fn advance_process(&mut self, id: u64) {
        let now = self.now;
        let answered = self.rng.random_range(0..4);
        let Some(simulated) = self.processes.get_mut(&id) else { return };
        let defect = self.defects.get(&simulated.process.generation).copied();
        let silent_for = now - simulated.process.last_report_at;
        if simulated.hung {
            let visible = silent_for >= Duration::from_millis(700);
            simulated.process.stall = simulated.visible_stall.filter(|_| visible);
            return;
        }
        if simulated.starved_until > now {
            return;
        }
        if simulated.ready_at.is_some_and(|at| at <= now) {
            simulated.report(now, answered, defect);
        }
        if let Some((generation, at)) = simulated.reload
            && at <= now
        {
            simulated.reload = None;
            if self.needing_restart.contains(&generation) {
                simulated.process.rejected_generation = Some(generation);
            } else {
                simulated.process.generation = generation;
                if self.defects.get(&generation) == Some(&Defect::Ends) {
                    simulated.ends_at = Some(now + STEP);
                }
            }
        }
    }

    /// Returns the processes of a slot.
    pub fn processes_of<'a>(
        &'a self,
        slot: &'a str,
    ) -> impl Iterator<Item = &'a SimulatedProcess> + 'a {
        self.processes.values().filter(move |simulated| simulated.process.slot == slot)
    }

    /// Checks an action, and carries it out.
    pub fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { slot, generation } => {
                self.check_start(&slot, generation);
                self.start(&slot, generation);
            }
            Action::Reload { process, generation } => self.reload(process, generation),
            Action::HandOver { process } => {
                self.check_hand_over(process);
                self.begin_draining(process.0);
            }
            Action::Stop { process } => {
                self.check_stop(process);
                self.begin_draining(process.0);
            }
            Action::Kill { process } => self.kill(process),
            Action::CompleteRollout { generation } => self.complete_rollout(generation),
            Action::RollBack { generation, reason } => self.roll_back(generation, reason),
            Action::Record { .. } => {}
        }
    }

    fn check_start(&self, slot: &str, generation: u64) {
        let serving: Vec<&SimulatedProcess> =
            self.processes_of(slot).filter(|simulated| simulated.is_serving()).collect();
        let duplicate = serving.iter().any(|simulated| {
            simulated.process.generation == generation && !simulated.process.restart_requested
        });
        self.check(!duplicate, &format!("a second copy of {slot}"));
        self.check(serving.len() <= 1, &format!("a third process of {slot}"));
        let dying = self.processes_of(slot).any(|simulated| simulated.killed);
        self.check(
            !dying || !serving.is_empty(),
            &format!("a killed process of {slot} has not exited"),
        );
        let desired =
            self.desired.slots.contains(slot) || self.desired.removed_slots.contains(slot);
        self.check(desired, &format!("{slot} is not desired"));
        self.check(!self.desired.blocked_slots.contains(slot), &format!("{slot} is blocked"));
    }

    fn reload(&mut self, process: ProcessId, generation: u64) {
        let lost = self.faults_are_on() && self.chance(0.1);
        let at = self.now + self.millis(0, 400);
        let simulated = self.processes.get_mut(&process.0).expect("the process exists");
        if !lost && !simulated.hung {
            simulated.reload = Some((generation, at));
        }
    }

    fn check_hand_over(&self, process: ProcessId) {
        let simulated = &self.processes[&process.0];
        let slot = &simulated.process.slot;
        let successor = self
            .processes_of(slot)
            .any(|other| other.process.id != process && other.process.ready && other.is_serving());
        let ending = simulated.process.draining || simulated.told_to_end;
        self.check(successor || ending, &format!("{slot} is left without a process"));
    }

    fn check_stop(&self, process: ProcessId) {
        let simulated = &self.processes[&process.0];
        let slot = &simulated.process.slot;
        let desired = self.desired.slots.contains(slot) && self.desired.shutdown.is_none();
        let ending = simulated.process.draining || simulated.told_to_end;
        self.check(!desired || ending, &format!("{slot} is stopped, but desired"));
    }

    fn kill(&mut self, process: ProcessId) {
        let simulated = &self.processes[&process.0];
        let healthy = simulated.process.ready && !simulated.hung && simulated.is_serving();
        let replacement = self
            .processes_of(&simulated.process.slot)
            .any(|other| other.process.id != process && other.process.ready);
        self.check(!healthy || replacement, &format!("{process:?} is healthy, and killed"));
        // It may take a while to end.
        let end = self.now + self.millis(0, 500);
        let simulated = self.processes.get_mut(&process.0).expect("the process exists");
        simulated.killed = true;
        simulated.ends_at = Some(simulated.ends_at.unwrap_or(end).min(end));
    }

    fn complete_rollout(&mut self, generation: u64) {
        self.check(generation == self.desired.target, "another generation completed");
        let complete = self.desired.slots.iter().all(|slot| {
            self.processes_of(slot).any(|simulated| {
                simulated.process.generation == generation && simulated.process.ready
            })
        });
        // Slots that were failing before a rollout do not delay it.
        let failing = self.now < FAULTS_END * 2 && self.seed != u64::MAX;
        self.check(complete || failing, "completed before all slots run it");
        self.completed.push(generation);
        self.desired.stable = generation;
        self.desired.stable_program = self.desired.target_program;
        self.desired.removed_slots.clear();
        self.desired.added_slots.clear();
    }

    fn roll_back(&mut self, generation: u64, reason: RollbackReason) {
        self.check(generation == self.desired.target, "another generation rolled back");
        self.rolled_back.push((generation, reason));
        self.desired.target = self.desired.stable;
        self.desired.target_program = self.desired.stable_program;
        let removed = std::mem::take(&mut self.desired.removed_slots);
        let added = std::mem::take(&mut self.desired.added_slots);
        self.desired.slots.extend(removed);
        self.desired.slots.retain(|slot| !added.contains(slot));
    }

    /// Starts a process of a slot. While faults are injected, some starts fail.
    pub fn start(&mut self, slot: &str, generation: u64) {
        let now = self.now;
        if self.faults_are_on() && self.chance(0.05) {
            self.planner.record_start_failure(now, slot, generation, "no descriptors");
            return;
        }
        self.next += 1;
        let defect = self.defects.get(&generation).copied();
        let ready = now + self.millis(50, 1500);
        let ends = (defect == Some(Defect::Ends)).then(|| now + Duration::from_millis(300));
        let program = if generation == self.desired.target {
            self.desired.target_program
        } else {
            self.desired.stable_program
        };
        let process = ObservedProcess {
            id: ProcessId(self.next),
            slot: slot.to_owned(),
            generation,
            program_id: program,
            started_at: now,
            last_report_at: now,
            ready: false,
            draining: false,
            rejected_generation: None,
            awaiting_report: false,
            restart_requested: false,
            requests: RequestTotals::default(),
            stall: None,
        };
        let ready_at = (defect != Some(Defect::NeverReady) && ends.is_none()).then_some(ready);
        let sim = SimulatedProcess {
            process,
            started_with: generation,
            ready_at,
            reload: None,
            hung: false,
            visible_stall: None,
            starved_until: Duration::ZERO,
            ignores_signals: false,
            told_to_end: false,
            ends_at: ends,
            killed: false,
        };
        self.processes.insert(self.next, sim);
    }

    /// Tells a process to drain. It does unless it hangs or ignores signals.
    pub fn begin_draining(&mut self, id: u64) {
        let (now, drains) = (self.now, self.millis(100, 3000));
        let simulated = self.processes.get_mut(&id).expect("the process exists");
        simulated.told_to_end = true;
        if !simulated.ignores_signals && !simulated.hung {
            simulated.process.draining = true;
            simulated.ends_at.get_or_insert(now + drains);
        }
    }

    /// Checks the policy's limits.
    pub fn check_limits(&self) {
        let limit = ((self.desired.slots.len() as f64 * self.policy.max_updating_share).ceil()
            as usize)
            .max(1);
        let updating = self.desired.slots.iter().filter(|slot| {
            let serving: Vec<&SimulatedProcess> =
                self.processes_of(slot).filter(|simulated| simulated.is_serving()).collect();
            serving.len() > 1
                || serving.iter().any(|simulated| simulated.reload.is_some() && !simulated.hung)
        });
        let updating = updating.count();
        // Updates that a previous daemon began continue beside those that its successor begins.
        let may_exceed_limit = self.now
            < self.limit_exceeded_since + self.policy.ready_timeout + Duration::from_secs(3);
        self.check(
            may_exceed_limit || updating <= limit,
            &format!("{updating} updating, {limit} allowed"),
        );
        let starting = self
            .processes
            .values()
            .filter(|simulated| simulated.is_serving() && !simulated.process.ready)
            .count();
        self.check(starting <= self.policy.max_concurrent_starts, "too many starting");
    }

    /// Fails with the reason unless the desired state is reached.
    pub fn check_reached(&self) -> Result<(), String> {
        if self.desired.target != self.desired.stable {
            return Err("the rollout is not over".into());
        }
        for slot in &self.desired.slots {
            let all: Vec<&SimulatedProcess> = self.processes_of(slot).collect();
            let [one] = all[..] else { return Err(format!("{} of {slot}", all.len())) };
            let runs_target =
                one.process.generation == self.desired.target && !one.process.restart_requested;
            if !runs_target || !one.process.ready || one.hung || !one.is_serving() {
                return Err(format!("{slot} does not serve the target: {one:?}"));
            }
        }
        let stray = self
            .processes
            .values()
            .find(|simulated| !self.desired.slots.contains(&simulated.process.slot));
        stray.map_or(Ok(()), |simulated| Err(format!("{} is still there", simulated.process.slot)))
    }

    /// Runs until the desired state is reached, and checks that it is kept.
    pub fn run_to_the_desired_state(&mut self) {
        let end = self.now + SETTLE_TIMEOUT;
        while let Err(reason) = self.check_reached() {
            self.check(self.now < end, &reason);
            self.step();
        }
        // The desired state is kept.
        for _ in 0..50 {
            self.step();
            if let Err(reason) = self.check_reached() {
                self.fail(&reason);
            }
        }
    }
}
