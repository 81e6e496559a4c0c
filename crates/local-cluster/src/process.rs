//! Signals to processes, and their resource usage.

use rustix::process::{Pid, Signal, kill_process};

/// The clock ticks per second in /proc/PID/stat; Linux uses 100 for programs on every machine (proc(5)).
const TICKS_PER_S: f64 = 100.0;
/// The index of the user time in /proc/PID/stat, counted from the field after the program name.
const USER_TIME_FIELD: usize = 11;
/// The index of the system time, counted like [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory in KiB.
    pub rss_kib: u64,
    /// Processor time used since the start of the process, in seconds.
    pub cpu_s: f64,
}

/// Returns the resource usage of a process, or `None` if there is no such process.
pub fn process_usage(pid: u32) -> Option<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let rss_kib = resident.trim().trim_end_matches(" kB").trim().parse().ok()?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<f64>().ok();
    let cpu_s = (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_S;
    Some(Usage { rss_kib, cpu_s })
}

/// Sends a signal to a process. Errors are ignored, because the process may already have ended.
pub fn signal_process(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}
