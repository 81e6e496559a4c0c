//! One process of an instance, as the daemon knows it from its status reports.

use std::time::Duration;

use instance_status::InstanceStatus;

use crate::planner::{Generation, ObservedProcess, ProcessId, RequestTotals};
use crate::process::{InstanceMark, Process};
use crate::stall::{SchedulerSample, Stall, StallDetector};

/// A sidecar reports twice a second. One that has not for so long is observed for stalls.
const SILENCE_BEFORE_SAMPLING: Duration = Duration::from_millis(550);

/// Whether this daemon started a process or found it running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Started,
    Adopted,
}

/// A running process of an instance. Times are since the daemon's start.
pub(super) struct InstanceProcess {
    pub(super) mark: InstanceMark,
    pub(super) process: Process,
    /// Its last report.
    pub(super) status: Option<InstanceStatus>,
    pub(super) started_at: Duration,
    pub(super) last_report_at: Duration,
    /// It was adopted and has not reported since.
    awaiting_report: bool,
    pub(super) restart_requested: bool,
    /// Set while it is silent.
    stall_detector: Option<StallDetector>,
    stall: Option<Stall>,
}

impl InstanceProcess {
    /// A process that was started or adopted at `now`.
    pub(super) fn new(
        mark: InstanceMark,
        process: Process,
        now: Duration,
        origin: Origin,
    ) -> InstanceProcess {
        InstanceProcess {
            mark,
            process,
            status: None,
            started_at: now,
            last_report_at: now,
            awaiting_report: origin == Origin::Adopted,
            restart_requested: false,
            stall_detector: None,
            stall: None,
        }
    }

    /// Whether it reports that it serves.
    pub(super) fn is_ready(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.ready)
    }

    /// Whether it reports that it only completes the requests that it has.
    pub(super) fn is_draining(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.draining)
    }

    /// What it runs by its own report; before the first report, what it was started with.
    pub(super) fn generation(&self) -> Generation {
        self.status.as_ref().map_or(self.mark.generation, |status| status.generation)
    }

    /// Takes in a report; whether it tells more than that the process lives.
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

    /// Samples the process if it is silent.
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
            let (instance, pid) = (&self.mark.slot, self.process.pid);
            tracing::warn!(%instance, pid, ?stall, silent_ms, "instance is stalled");
        }
        self.stall = Some(stall);
    }

    /// What the planner is to know of it.
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
            slot: self.mark.slot.clone(),
            generation: self.generation(),
            program_id: self.mark.program_id,
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
