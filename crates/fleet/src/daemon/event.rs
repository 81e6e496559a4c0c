//! Events for operators, which appear in the history and in the log.

use thiserror::Error;

use super::Daemon;
use crate::planner::{Generation, PlannerEvent, RollbackReason, Subject};

/// An event of the fleet, an instance or a generation. Its text is stored in the history.
#[derive(Debug, Error)]
pub(super) enum FleetEvent {
    #[error("is the first")]
    FirstGeneration,
    #[error("is taken over from a previous daemon")]
    TakenOver,
    #[error("is to follow {previous}")]
    RolloutBegun { previous: Generation },
    #[error("runs everywhere")]
    RolloutCompleted,
    #[error("goes back: {0}")]
    RolledBack(RollbackReason),
    #[error("refused: {reason}")]
    RequestRejected { reason: String },
    #[error("taken out")]
    Drained,
    #[error("restart asked for")]
    RestartRequested,
    #[error("{template}: {count} instances")]
    Scaled { template: String, count: usize },
    #[error("the fleet is shutting down")]
    ShutdownBegun,
    #[error("the socket holder is gone; another takes its place")]
    SocketHolderEnded,
    #[error("{0}")]
    Planner(PlannerEvent),
}

impl Daemon {
    /// Logs an event and stores it in the history.
    pub(super) fn record(&mut self, subject: &Subject, event: &FleetEvent) {
        let text = match subject {
            Subject::Fleet => {
                tracing::info!(%event, "fleet event");
                event.to_string()
            }
            Subject::Slot(instance) => {
                tracing::info!(%instance, %event, "instance event");
                format!("{instance}: {event}")
            }
            Subject::Generation(generation) => {
                tracing::info!(generation, %event, "generation event");
                format!("generation {generation} {event}")
            }
        };
        self.state.record(text);
        // A failure is logged and shown in the status, and the state is stored at a later tick.
        let _ = self.persist();
    }
}
