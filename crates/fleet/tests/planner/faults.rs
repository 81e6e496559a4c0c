//! Faults and changes that are drawn from the seed of a simulated host.

use std::time::Duration;

use fleet::planner::{Action, Planner, RollbackReason};
use fleet::stall::Stall;
use rand::Rng;
use rand::rngs::StdRng;

use crate::world::{BAD, Bad, World, policy};

/// Nothing fails after this.
pub const FAULTS_END: Duration = Duration::from_secs(60);

impl World {
    /// Plays the part of the history in which faults happen.
    pub fn run_through_faults(&mut self) {
        while self.now < FAULTS_END {
            self.step();
            if self.chance(0.03) {
                self.inject_fault();
            }
        }
        self.desired.blocked_slots.clear();
    }

    pub fn inject_fault(&mut self) {
        let ids: Vec<u64> = self.processes.keys().copied().collect();
        let one = |rng: &mut StdRng| ids.get(rng.random_range(0..ids.len().max(1))).copied();
        match self.rng.random_range(0..13) {
            0 | 1 => {
                if let Some(id) = one(&mut self.rng) {
                    self.log.push(format!("{:?}: {id} crashes", self.now));
                    self.processes.remove(&id);
                }
            }
            2 => {
                if let Some(id) = one(&mut self.rng) {
                    self.log.push(format!("{:?}: {id} hangs", self.now));
                    let visible_stall = self.rng.random_bool(0.5).then_some(Stall::Asleep);
                    let s = self.processes.get_mut(&id).expect("it is there");
                    (s.hung, s.visible_stall) = (true, visible_stall);
                }
            }
            3 => {
                if let Some(id) = one(&mut self.rng) {
                    self.processes.get_mut(&id).expect("it is there").ignores_signals = true;
                }
            }
            4 => self.restart_daemon(),
            // Where nothing is to run, nothing shows that a generation is bad.
            5 if !self.desired.slots.is_empty() => {
                let bad = BAD[self.rng.random_range(0..BAD.len())];
                self.change_desired(Some(bad), true, false);
            }
            6 => self.change_desired(None, false, false),
            7 => self.change_desired(None, true, true),
            8 if self.desired.target == self.desired.stable => {
                let n = self.rng.random_range(0..10);
                // Moves that were begun under a larger limit go on.
                self.limit_exceeded_since = self.now;
                self.desired.slots = (0..n).map(|n| format!("s-{n}")).collect();
            }
            9 => {
                if let Some(id) = one(&mut self.rng) {
                    self.processes.get_mut(&id).expect("it is there").process.restart_requested =
                        true;
                }
            }
            10 => {
                let slot = format!("s-{}", self.rng.random_range(0..10));
                if !self.desired.blocked_slots.remove(&slot) {
                    self.desired.blocked_slots.insert(slot);
                }
            }
            12 => {
                if let Some(id) = one(&mut self.rng) {
                    let until = self.now + self.millis(500, 3500);
                    self.processes.get_mut(&id).expect("it is there").starved_until = until;
                }
            }
            11 if self.desired.target != self.desired.stable => {
                // Operators undo the rollout.
                let generation = self.desired.target;
                self.carry_out(Action::RollBack { generation, reason: RollbackReason::Requested });
            }
            _ => {}
        }
    }

    pub fn change_desired(&mut self, bad: Option<Bad>, needs_restart: bool, program: bool) {
        if self.desired.target != self.desired.stable {
            // The daemon rejects a reload while a rollout runs.
            return;
        }
        self.generations += 1;
        self.log
            .push(format!("{:?}: desired {} {bad:?} {needs_restart}", self.now, self.generations));
        self.desired.target = self.generations;
        if let Some(bad) = bad {
            self.bad.insert(self.generations, bad);
        }
        if needs_restart {
            self.needing_restart.insert(self.generations);
        }
        if program {
            self.desired.target_program = self.generations;
        }
    }

    pub fn restart_daemon(&mut self) {
        self.log.push(format!("{:?}: the daemon dies", self.now));
        self.planner = Planner::new(policy(), self.rng.random());
        self.limit_exceeded_since = self.now;
        let now = self.now;
        for s in self.processes.values_mut() {
            s.process.started_at = now;
            s.process.last_report_at = now;
            s.process.restart_requested = false;
            s.told_to_end = s.process.draining;
            if s.process.ready || s.process.draining {
                s.process.ready = false;
                s.process.awaiting_report = true;
                s.ready_at = Some(now + Duration::from_millis(500));
            }
        }
    }

    pub fn faults_are_on(&self) -> bool {
        self.now < FAULTS_END && self.seed != u64::MAX
    }
}
