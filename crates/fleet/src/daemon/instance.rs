//! A process of an instance, with the state known from its status reports.

use std::time::Duration;

use instance_status::InstanceStatus;

use crate::planner::{Generation, ObservedProcess, ProcessId, RequestTotals};
use crate::process::{InstanceIdentity, Process};
use crate::stall::{SchedulerSample, Stall, StallDetector};

/// The time without a report after which a process is sampled for stalls. A sidecar reports twice a
/// second.
const SILENCE_BEFORE_SAMPLING: Duration = Duration::from_millis(550);

/// Whether this daemon started a process or found it running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessOrigin {
    Started,
    Adopted,
}

/// A running process of an instance. Times are since the daemon's start.
pub(super) struct InstanceProcess {
    pub(super) identity: InstanceIdentity,
    pub(super) process: Process,
    /// The last report, or `None` before the first.
    pub(super) status: Option<InstanceStatus>,
    pub(super) started_at: Duration,
    pub(super) last_report_at: Duration,
    /// Whether it was adopted and has not reported since.
    awaiting_report: bool,
    pub(super) restart_requested: bool,
    /// Present while reports are overdue.
    stall_detector: Option<StallDetector>,
    /// The stall that was detected since the last report.
    stall: Option<Stall>,
}

impl InstanceProcess {
    /// Creates the state of a process that was started or adopted at `now`.
    pub(super) fn new(
        identity: InstanceIdentity,
        process: Process,
        now: Duration,
        origin: ProcessOrigin,
    ) -> InstanceProcess {
        InstanceProcess {
            identity,
            process,
            status: None,
            started_at: now,
            last_report_at: now,
            awaiting_report: origin == ProcessOrigin::Adopted,
            restart_requested: false,
            stall_detector: None,
            stall: None,
        }
    }

    /// Whether the process reports that it is ready to serve.
    pub(super) fn is_ready(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.ready)
    }

    /// Whether the process reports that it is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.draining)
    }

    /// Returns the generation that the process reports; before the first report, the one that it was
    /// started with.
    pub(super) fn generation(&self) -> Generation {
        self.status.as_ref().map_or(self.identity.generation, |status| status.generation)
    }

    /// Stores a report. Returns whether it changes anything that the planner acts on.
    pub(super) fn update(&mut self, now: Duration, status: InstanceStatus) -> bool {
        self.last_report_at = now;
        self.awaiting_report = false;
        self.stall_detector = None;
        self.stall = None;
        let relevant = |status: &InstanceStatus| {
            let rejected = status.rejected_config.as_ref().map(|rejected| rejected.generation);
            (status.ready, status.draining, status.generation, rejected)
        };
        let changed = self.status.as_ref().map(relevant) != Some(relevant(&status));
        self.status = Some(status);
        changed
    }

    /// Samples the process for stalls if its reports are overdue.
    pub(super) fn detect_stall(&mut self, now: Duration) {
        let silent_for = now.saturating_sub(self.last_report_at);
        if !self.is_ready() || silent_for < SILENCE_BEFORE_SAMPLING {
            self.stall_detector = None;
            return;
        }
        let Some(sample) = SchedulerSample::read(self.process.pid) else { return };
        let detector = self.stall_detector.get_or_insert_with(|| StallDetector::new(now, sample));
        let Some(stall) = detector.observe(now, sample) else { return };
        if self.stall.is_none() {
            let silent_ms = silent_for.as_millis() as u64;
            let (instance, pid) = (&self.identity.slot, self.process.pid);
            tracing::warn!(%instance, pid, ?stall, silent_ms, "instance is stalled");
        }
        self.stall = Some(stall);
    }

    /// Returns the planner's view of the process.
    pub(super) fn observed(&self, id: ProcessId) -> ObservedProcess {
        let status = self.status.as_ref();
        let rejected = status.and_then(|status| status.rejected_config.as_ref());
        let requests = status.map(|status| status.counts).map(|counts| RequestTotals {
            total: counts.served + counts.rejected + counts.failed,
            failed: counts.failed,
            rejected: counts.rejected,
        });
        ObservedProcess {
            id,
            slot: self.identity.slot.clone(),
            generation: self.generation(),
            program_id: self.identity.program_id,
            started_at: self.started_at,
            last_report_at: self.last_report_at,
            ready: self.is_ready(),
            draining: self.is_draining(),
            rejected_generation: rejected.map(|rejected| rejected.generation),
            awaiting_report: self.awaiting_report,
            restart_requested: self.restart_requested,
            requests: requests.unwrap_or_default(),
            stall: self.stall,
        }
    }
}
