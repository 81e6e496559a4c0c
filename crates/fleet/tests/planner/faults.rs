//! Random faults and changes of the desired state, determined by the seed of the simulated host.

use std::time::Duration;

use fleet::planner::{Action, Planner, RollbackReason};
use fleet::stall::Stall;
use rand::Rng;

use crate::world::{ALL_DEFECTS, Defect, SimulatedProcess, World, policy};

/// The simulated time after which no faults are injected.
pub const FAULTS_END: Duration = Duration::from_secs(60);

/// A new generation in the desired state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Change {
    /// The defect of the new generation, or `None` if it works.
    pub defect: Option<Defect>,
    /// Whether no process can apply it without a restart.
    pub needs_restart: bool,
    /// Whether it has another program.
    pub new_program: bool,
}

impl World {
    /// Runs the simulation until [`FAULTS_END`], with random faults.
    pub fn run_through_faults(&mut self) {
        while self.now < FAULTS_END {
            self.step();
            if self.chance(0.03) {
                self.inject_fault();
            }
        }
        self.desired.blocked_slots.clear();
    }

    /// Injects a random fault or change.
    pub fn inject_fault(&mut self) {
        match self.rng.random_range(0..13) {
            0 | 1 => self.crash_process(),
            2 => self.hang_process(),
            3 => {
                if let Some(simulated) = self.draw_process() {
                    simulated.ignores_signals = true;
                }
            }
            4 => self.restart_daemon(),
            // Without slots a defect cannot be detected.
            5 if !self.desired.slots.is_empty() => {
                let defect = Some(ALL_DEFECTS[self.rng.random_range(0..ALL_DEFECTS.len())]);
                self.change_desired(Change { defect, needs_restart: true, new_program: false });
            }
            6 => self.change_desired(Change::default()),
            7 => {
                self.change_desired(Change {
                    defect: None,
                    needs_restart: true,
                    new_program: true,
                });
            }
            8 if self.desired.target == self.desired.stable => {
                let count = self.rng.random_range(0..10);
                // Updates that were begun under a larger limit continue.
                self.limit_exceeded_since = self.now;
                self.desired.slots = (0..count).map(|n| format!("s-{n}")).collect();
            }
            9 => {
                if let Some(simulated) = self.draw_process() {
                    simulated.process.restart_requested = true;
                }
            }
            10 => self.block_or_unblock_slot(),
            11 if self.desired.target != self.desired.stable => {
                // An operator undoes the rollout.
                let generation = self.desired.target;
                self.carry_out(Action::RollBack { generation, reason: RollbackReason::Requested });
            }
            12 => self.starve_process(),
            _ => {}
        }
    }

    fn draw_id(&mut self) -> Option<u64> {
        let ids: Vec<u64> = self.processes.keys().copied().collect();
        ids.get(self.rng.random_range(0..ids.len().max(1))).copied()
    }

    fn draw_process(&mut self) -> Option<&mut SimulatedProcess> {
        let id = self.draw_id()?;
        self.processes.get_mut(&id)
    }

    fn crash_process(&mut self) {
        if let Some(id) = self.draw_id() {
            self.log.push(format!("{:?}: {id} crashes", self.now));
            self.processes.remove(&id);
        }
    }

    fn hang_process(&mut self) {
        if let Some(id) = self.draw_id() {
            self.log.push(format!("{:?}: {id} hangs", self.now));
            let visible_stall = self.rng.random_bool(0.5).then_some(Stall::Asleep);
            let simulated = self.processes.get_mut(&id).expect("the process exists");
            (simulated.hung, simulated.visible_stall) = (true, visible_stall);
        }
    }

    fn starve_process(&mut self) {
        if let Some(id) = self.draw_id() {
            let until = self.now + self.millis(500, 3500);
            self.processes.get_mut(&id).expect("the process exists").starved_until = until;
        }
    }

    fn block_or_unblock_slot(&mut self) {
        let slot = format!("s-{}", self.rng.random_range(0..10));
        if !self.desired.blocked_slots.remove(&slot) {
            self.desired.blocked_slots.insert(slot);
        }
    }

    /// Makes a new generation the target, unless a rollout is in progress.
    pub fn change_desired(&mut self, change: Change) {
        if self.desired.target != self.desired.stable {
            // The daemon rejects a reload while a rollout runs.
            return;
        }
        self.generations += 1;
        self.log.push(format!("{:?}: desired {} {change:?}", self.now, self.generations));
        self.desired.target = self.generations;
        if let Some(defect) = change.defect {
            self.defects.insert(self.generations, defect);
        }
        if change.needs_restart {
            self.needing_restart.insert(self.generations);
        }
        if change.new_program {
            self.desired.target_program = self.generations;
        }
    }

    /// Replaces the planner by a new one, and adopts all processes.
    pub fn restart_daemon(&mut self) {
        self.log.push(format!("{:?}: the daemon is replaced", self.now));
        self.planner = Planner::new(policy(), self.rng.random());
        self.limit_exceeded_since = self.now;
        let now = self.now;
        for simulated in self.processes.values_mut() {
            simulated.process.started_at = now;
            simulated.process.last_report_at = now;
            simulated.process.restart_requested = false;
            simulated.told_to_end = simulated.process.draining;
            if simulated.process.ready || simulated.process.draining {
                simulated.process.ready = false;
                simulated.process.awaiting_report = true;
                simulated.ready_at = Some(now + Duration::from_millis(500));
            }
        }
    }

    /// Whether faults are injected at this time. Settled worlds, whose seed is `u64::MAX`, have none.
    pub fn faults_are_on(&self) -> bool {
        self.now < FAULTS_END && self.seed != u64::MAX
    }
}
