//! The commands that were given to processes, and when they are given again.

use std::time::Duration;

use super::Planner;
use super::action::Action;
use super::facts::{Generation, ObservedProcess};

/// A command that a process does not act on is repeated no sooner than after this.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What a process is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Apply the configuration of a generation.
    Reload(Generation),
    /// Drain and end: a successor serves.
    HandOver,
    /// Drain and end.
    Stop,
    /// End at once.
    Kill,
}

impl Command {
    /// Whether the process is to end.
    pub(super) fn ends_process(self) -> bool {
        !matches!(self, Command::Reload(_))
    }

    fn action(self, process: &ObservedProcess) -> Action {
        let process = process.id;
        match self {
            Command::Reload(generation) => Action::Reload { process, generation },
            Command::HandOver => Action::HandOver { process },
            Command::Stop => Action::Stop { process },
            Command::Kill => Action::Kill { process },
        }
    }
}

/// The last command that a process was given. Times are since the daemon's start.
#[derive(Clone, Copy, Debug)]
pub(super) struct IssuedCommand {
    pub(super) command: Command,
    pub(super) first_issued_at: Duration,
    pub(super) last_issued_at: Duration,
}

impl IssuedCommand {
    fn new(now: Duration, command: Command) -> IssuedCommand {
        IssuedCommand { command, first_issued_at: now, last_issued_at: now }
    }
}

impl Planner {
    /// The last command that a process was given, if it has not been carried out.
    pub(super) fn issued(&self, process: &ObservedProcess) -> Option<IssuedCommand> {
        self.issued.get(&process.id).copied()
    }

    /// Whether a process goes on serving: it does not drain and was not told to end.
    pub(super) fn is_serving(&self, process: &ObservedProcess) -> bool {
        let ending = self.issued(process).is_some_and(|issued| issued.command.ends_process());
        !process.draining && !ending
    }

    /// Gives a process a command, unless it was given the same one a moment ago or is to be killed.
    pub(super) fn issue(
        &mut self,
        now: Duration,
        process: &ObservedProcess,
        command: Command,
        actions: &mut Vec<Action>,
    ) {
        match self.issued.get_mut(&process.id) {
            Some(issued) if issued.command == command => {
                if now.saturating_sub(issued.last_issued_at) < REPEAT_INTERVAL {
                    return;
                }
                issued.last_issued_at = now;
            }
            Some(issued) if issued.command == Command::Kill => return,
            _ => {
                self.issued.insert(process.id, IssuedCommand::new(now, command));
            }
        }
        actions.push(command.action(process));
    }

    /// Follows a process that is to end: repeats its command, and kills it when it takes too long.
    pub(super) fn drain(
        &mut self,
        now: Duration,
        process: &ObservedProcess,
        actions: &mut Vec<Action>,
    ) {
        // A process that drains without a command was told to by an earlier daemon.
        let issued = *self
            .issued
            .entry(process.id)
            .or_insert_with(|| IssuedCommand::new(now, Command::HandOver));
        let overdue = now.saturating_sub(issued.first_issued_at) > self.policy.drain_timeout;
        if issued.command == Command::Kill || overdue {
            self.issue(now, process, Command::Kill, actions);
        } else if !process.draining {
            self.issue(now, process, issued.command, actions);
        }
    }
}
