//! Plays a plan.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::cluster::{Cluster, POLL_INTERVAL};
pub use crate::error::RunError;
use crate::measurement::measure;
use crate::plan::Plan;
use crate::report::Report;

/// How long the first change may take to be in force everywhere.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(120);
/// Progress is told each time that this many more sidecars have the first change.
const PROGRESS_STEP: usize = 500;

/// Plays a plan. `own_program` is a program that runs [`crate::hollow::run`] when it is called with `scale hollow`.
/// `tell` is called with lines about the progress.
///
/// # Errors
///
/// What could not be done. A run whose expectations fail is no error.
pub fn run(
    plan: &Plan,
    own_program: &Path,
    mut tell: impl FnMut(&str),
) -> Result<Report, RunError> {
    let needed_kib = plan.check_memory(total_memory_kib()?)?;
    tell(&format!(
        "{} hollow sidecars in {} processes, {} real ones, {} control machines: up to {} MB",
        plan.sidecar_count(),
        plan.zone_count(),
        plan.real_sidecar_count(),
        plan.control_server_count(),
        needed_kib >> 10
    ));
    raise_descriptor_limit();
    let mut cluster = Cluster::start(plan, own_program)?;
    let first = cluster.publish(START_TIMEOUT)?;
    let started = Instant::now();
    cluster.start_sidecars()?;
    wait_for_first_change(&cluster, first, started, &mut tell)?;
    let start_s = started.elapsed().as_secs_f64();
    tell(&format!("all have the first change after {start_s:.1} s"));
    let report = measure(&mut cluster, &mut tell)?;
    Ok(Report { start_s, ..report })
}

fn wait_for_first_change(
    cluster: &Cluster<'_>,
    generation: u64,
    started: Instant,
    tell: &mut impl FnMut(&str),
) -> Result<(), RunError> {
    let total = cluster.plan.sidecar_count();
    let mut told = 0;
    loop {
        let reached = cluster.propagation(generation).sidecar_count;
        if reached >= total {
            return Ok(());
        }
        if started.elapsed() > START_TIMEOUT {
            let logs = cluster.log_directory().to_owned();
            return Err(RunError::FirstChange { reached, total, logs });
        }
        if reached / PROGRESS_STEP > told {
            told = reached / PROGRESS_STEP;
            tell(&format!("{reached} have the first change"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The machine's memory in KiB, from /proc/meminfo; 0 if that does not tell.
fn total_memory_kib() -> io::Result<u64> {
    let meminfo = std::fs::read_to_string("/proc/meminfo")?;
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    Ok(total.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0))
}

/// Raises the limit on open descriptors as far as the system allows.
fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}
