//! A hash over the planner's inputs and actions.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::planner::{Action, DesiredState, ObservedProcess, Shutdown, Subject};
use fleet::stall::Stall;

/// An FNV-1a hash over all of the planner's inputs and actions, except the reasons of rollbacks and the
/// content of events.
pub struct DecisionHash(pub u64);

impl DecisionHash {
    pub fn new() -> DecisionHash {
        DecisionHash(0xcbf2_9ce4_8422_2325)
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn time(&mut self, time: Duration) {
        self.number(time.as_nanos() as u64);
    }

    pub fn name(&mut self, name: &str) {
        self.number(name.len() as u64);
        self.bytes(name.as_bytes());
    }

    pub fn names(&mut self, names: &BTreeSet<String>) {
        self.number(names.len() as u64);
        names.iter().for_each(|name| self.name(name));
    }

    pub fn inputs(&mut self, now: Duration, desired: &DesiredState, processes: &[ObservedProcess]) {
        self.time(now);
        for names in
            [&desired.slots, &desired.added_slots, &desired.removed_slots, &desired.blocked_slots]
        {
            self.names(names);
        }
        for number in
            [desired.target, desired.stable, desired.target_program, desired.stable_program]
        {
            self.number(number);
        }
        let shutdown = match desired.shutdown {
            None => 0,
            Some(Shutdown::Graceful) => 2,
            Some(Shutdown::Immediate) => 3,
        };
        self.number(shutdown);
        self.number(processes.len() as u64);
        for process in processes {
            self.number(process.id.0);
            self.name(&process.slot);
            self.time(process.started_at);
            self.time(process.last_report_at);
            let flags = [
                process.ready,
                process.draining,
                process.awaiting_report,
                process.restart_requested,
            ];
            flags.into_iter().for_each(|flag| self.number(u64::from(flag)));
            let stall = match process.stall {
                None => 0,
                Some(Stall::Stopped) => 1,
                Some(Stall::Asleep) => 2,
                Some(Stall::Spinning) => 3,
            };
            let counts =
                [process.requests.total, process.requests.failed, process.requests.rejected];
            let numbers = [
                process.generation,
                process.program_id,
                process.rejected_generation.unwrap_or(0),
                stall,
            ];
            numbers.into_iter().chain(counts).for_each(|number| self.number(number));
        }
    }

    pub fn action(&mut self, action: &Action) {
        let (kind, number) = match action {
            Action::Start { slot, generation } => {
                self.name(slot);
                (0, *generation)
            }
            Action::Reload { process, generation } => {
                self.number(process.0);
                (1, *generation)
            }
            Action::HandOver { process } => (2, process.0),
            Action::Stop { process } => (3, process.0),
            Action::Kill { process } => (4, process.0),
            Action::CompleteRollout { generation } => (5, *generation),
            Action::RollBack { generation, .. } => (6, *generation),
            Action::Record { subject, .. } => match subject {
                Subject::Fleet => (7, 0),
                Subject::Slot(slot) => {
                    self.name(slot);
                    (8, 0)
                }
                Subject::Generation(generation) => (9, *generation),
            },
        };
        self.number(kind);
        self.number(number);
    }
}
