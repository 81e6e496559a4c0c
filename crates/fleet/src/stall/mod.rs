//! Tells whether a silent process hangs or is only kept from running.
//!
//! Silence alone cannot tell: on a host whose processors are all busy, a healthy process may not run
//! for seconds, and killing it would make things worse. The system's figures can. A stopped process
//! shows as stopped. One that sleeps although its timers have expired was not woken since. One that
//! uses CPU time and does not handle its timers spins. One that is runnable and gets no CPU time is
//! starved, and left alone.
//!
//! Sources: proc(5) for `stat`; the kernel's `Documentation/scheduler/sched-stats.rst` for
//! `schedstat`. Where either cannot be read there is no evidence, and silence alone decides, later.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// A stopped process is observed for so long: it may be continued at once.
const MIN_STOPPED: Duration = Duration::from_millis(200);
/// Longer than the interval of a healthy sidecar's timers (status reports and the eviction of idle
/// connections), which wake it twice a second.
const MIN_ASLEEP: Duration = Duration::from_millis(600);
/// Much more CPU time than one turn of a healthy event loop takes.
const MIN_SPINNING: Duration = Duration::from_millis(400);
/// A daemon that took no sample for so long was itself kept from running.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(400);

/// How a process hangs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// It was stopped by a signal.
    Stopped,
    /// It sleeps, and has not run although its timers have expired.
    Asleep,
    /// It runs all the time, and does not handle its timers.
    Spinning,
}

/// What the system's scheduler tells of a process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerSample {
    /// Its state, as in the third field of `stat`.
    pub state: char,
    /// The CPU time that it has used.
    pub cpu_time: Duration,
    /// How often it was given a processor.
    pub timeslices: u64,
}

impl SchedulerSample {
    /// The present figures of a process; none if they cannot be read. They are those of its first
    /// thread, which is the only one of a sidecar.
    pub fn read(pid: u32) -> Option<SchedulerSample> {
        let file = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).ok();
        SchedulerSample::parse(&file("stat")?, &file("schedstat")?)
    }

    fn parse(stat: &str, schedstat: &str) -> Option<SchedulerSample> {
        // The process's name, in parentheses, may hold anything.
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
    /// A detector with a first sample, taken at `now`.
    pub fn new(now: Duration, sample: SchedulerSample) -> StallDetector {
        StallDetector { first: sample, since: now, last_observed_at: now }
    }

    /// Takes in a further sample; the stall, once there is no doubt.
    pub fn observe(&mut self, now: Duration, sample: SchedulerSample) -> Option<Stall> {
        let gap = now.saturating_sub(self.last_observed_at);
        let state_changed = sample.state != self.first.state;
        // A sleeping process that ran meanwhile was woken, and is only slow.
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
            // Waiting for a disk ('D'), stopped by a debugger ('t') or runnable without a processor
            // is no fault of the process.
            _ => None,
        }
    }
}
