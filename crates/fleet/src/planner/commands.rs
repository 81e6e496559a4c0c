//! Tracks the commands given to processes and repeats those that have not taken effect.

use std::time::Duration;

use super::Planner;
use super::action::Action;
use super::facts::{Generation, ObservedProcess};

/// The shortest interval in which a command is repeated to a process that has not acted on it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A command to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Apply the configuration of a generation.
    Reload(Generation),
    /// Drain and exit; a successor serves.
    HandOver,
    /// Drain and exit.
    Stop,
    /// Exit immediately, by SIGKILL.
    Kill,
}

impl Command {
    /// Whether the command makes the process exit.
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

/// The last command given to a process. Times are since the daemon's start.
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
    /// Returns the last command given to a process, or `None` if it was given none or has carried it
    /// out.
    pub(super) fn issued(&self, process: &ObservedProcess) -> Option<IssuedCommand> {
        self.issued.get(&process.id).copied()
    }

    /// Whether a process keeps serving: it is not draining and was not told to exit.
    pub(super) fn is_serving(&self, process: &ObservedProcess) -> bool {
        let ending = self.issued(process).is_some_and(|issued| issued.command.ends_process());
        !process.draining && !ending
    }

    /// Gives a process a command, unless it was given the same one within [`REPEAT_INTERVAL`] or is
    /// being killed.
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

    /// Repeats the command of a process that was told to exit, and kills the process once it exceeds
    /// the drain timeout.
    pub(super) fn drain(
        &mut self,
        now: Duration,
        process: &ObservedProcess,
        actions: &mut Vec<Action>,
    ) {
        // A process that drains without a command got it from a previous daemon.
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
