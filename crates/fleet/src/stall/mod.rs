//! Detects whether a process that has stopped reporting hangs or only gets no processor time.
//!
//! Missing reports alone do not distinguish the two: on a host whose processors are all busy, a healthy
//! process may not run for seconds, and killing it would add to the load. The scheduler statistics of
//! the process do distinguish them. A process that is stopped by a signal has the state `T`. A process
//! that sleeps although its timers have expired is asleep. A process that uses CPU time without handling
//! its timers is spinning. A process that is runnable and gets no CPU time is starved, which is not a
//! stall.
//!
//! `stat` is described in proc(5), and `schedstat` in the kernel's
//! `Documentation/scheduler/sched-stats.rst`. If either cannot be read, no stall is detected, and the
//! longer timeout for missing reports applies.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// The time for which a process must be stopped before it counts as stalled. A process may be continued
/// right after it was stopped, which is no stall.
const MIN_STOPPED: Duration = Duration::from_millis(200);
/// The time for which a process must sleep without being woken before it counts as stalled. It is longer
/// than the interval of the timers of a healthy sidecar (status reports and the eviction of idle
/// connections), which wake it twice a second.
const MIN_ASLEEP: Duration = Duration::from_millis(600);
/// The CPU time from which a process without reports counts as spinning. It is much more than one turn of
/// a healthy event loop takes.
const MIN_SPINNING: Duration = Duration::from_millis(400);
/// The longest gap between two samples. After a longer one the daemon itself got no processor time, and
/// detection starts over.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(400);

/// The manner in which a process hangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// It was stopped by a signal.
    Stopped,
    /// It sleeps and has not run, although its timers have expired.
    Asleep,
    /// It uses CPU time without handling its timers.
    Spinning,
}

/// The scheduler statistics of a process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerSample {
    /// The state of the process: the third field of `stat`.
    pub state: char,
    /// The CPU time that the process has used.
    pub cpu_time: Duration,
    /// The number of timeslices that the process has run.
    pub timeslices: u64,
}

impl SchedulerSample {
    /// Reads the present statistics of a process, or `None` if they cannot be read. They are those of its
    /// main thread; a sidecar has no other.
    pub fn read(pid: u32) -> Option<SchedulerSample> {
        let file = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).ok();
        SchedulerSample::parse(&file("stat")?, &file("schedstat")?)
    }

    fn parse(stat: &str, schedstat: &str) -> Option<SchedulerSample> {
        // The name of the process, in parentheses, may contain any character.
        let state = stat.rsplit_once(')')?.1.trim_start().chars().next()?;
        let mut fields = schedstat.split_whitespace().map(str::parse::<u64>);
        let cpu_time = Duration::from_nanos(fields.next()?.ok()?);
        let timeslices = fields.nth(1)?.ok()?;
        Some(SchedulerSample { state, cpu_time, timeslices })
    }
}

/// Detects the stall of one silent process from repeated samples.
#[derive(Clone, Debug)]
pub struct StallDetector {
    first: SchedulerSample,
    since: Duration,
    last_observed_at: Duration,
}

impl StallDetector {
    /// Creates a detector with a first sample, taken at `now`.
    pub fn new(now: Duration, sample: SchedulerSample) -> StallDetector {
        StallDetector { first: sample, since: now, last_observed_at: now }
    }

    /// Adds a sample, taken at `now`. Returns the stall once the samples prove it.
    pub fn observe(&mut self, now: Duration, sample: SchedulerSample) -> Option<Stall> {
        let gap = now.saturating_sub(self.last_observed_at);
        let state_changed = sample.state != self.first.state;
        // A sleeping process that has run since was woken: it is slow, but not stalled.
        let was_woken = sample.state == 'S' && sample.timeslices != self.first.timeslices;
        if gap > MAX_SAMPLE_GAP || state_changed || was_woken {
            *self = StallDetector::new(now, sample);
            return None;
        }
        self.last_observed_at = now;
        let observed_for = now.saturating_sub(self.since);
        let cpu_time = sample.cpu_time.saturating_sub(self.first.cpu_time);
        match sample.state {
            'T' if observed_for >= MIN_STOPPED => Some(Stall::Stopped),
            'S' if observed_for >= MIN_ASLEEP => Some(Stall::Asleep),
            'R' if cpu_time >= MIN_SPINNING => Some(Stall::Spinning),
            // A process that waits for a disk ('D'), is stopped by a debugger ('t') or is runnable without
            // a processor is not at fault.
            _ => None,
        }
    }
}
