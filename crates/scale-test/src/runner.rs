//! Runs a plan.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

use crate::cluster::{Cluster, POLL_INTERVAL};
pub use crate::error::RunError;
use crate::measurement::measure;
use crate::plan::Plan;
use crate::report::Report;

/// The time within which the first change must be published, and again the time within which it must then be in force
/// everywhere.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(120);
/// The number of further sidecars with the first change after which progress is reported.
const PROGRESS_STEP: usize = 500;

/// Runs a plan. `own_program` is a program that calls [`crate::hollow::run`] when its arguments are `scale hollow`.
/// `on_progress` is called with lines that describe the progress.
///
/// # Errors
///
/// Fails if the plan cannot be carried out. A run whose expectations fail is no error.
pub fn run(
    plan: &Plan,
    own_program: &Path,
    mut on_progress: impl FnMut(&str),
) -> Result<Report, RunError> {
    let needed_kib = plan.check_memory(total_memory_kib()?)?;
    on_progress(&format!(
        "{} hollow sidecars in {} processes, {} real sidecars, {} control servers: up to {} MB",
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
    wait_for_first_change(&cluster, first, started, &mut on_progress)?;
    let start_s = started.elapsed().as_secs_f64();
    on_progress(&format!("the first change is in force everywhere after {start_s:.1} s"));
    let report = measure(&mut cluster, &mut on_progress)?;
    Ok(Report { start_s, ..report })
}

fn wait_for_first_change(
    cluster: &Cluster<'_>,
    generation: u64,
    started: Instant,
    on_progress: &mut impl FnMut(&str),
) -> Result<(), RunError> {
    let total = cluster.plan.sidecar_count();
    let mut reported_steps = 0;
    loop {
        let reached = cluster.propagation(generation).sidecar_count;
        if reached >= total {
            return Ok(());
        }
        if started.elapsed() > START_TIMEOUT {
            let logs = cluster.log_directory().to_owned();
            return Err(RunError::FirstChange { reached, total, logs });
        }
        if reached / PROGRESS_STEP > reported_steps {
            reported_steps = reached / PROGRESS_STEP;
            on_progress(&format!("the first change is in force at {reached} sidecars"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the memory of the machine in KiB, from /proc/meminfo, or 0 if the file does not contain it.
fn total_memory_kib() -> io::Result<u64> {
    let meminfo = std::fs::read_to_string("/proc/meminfo")?;
    let total = meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    Ok(total.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0))
}

/// Raises the soft limit on open descriptors to the hard limit.
fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let _ = setrlimit(Resource::Nofile, Rlimit { current: maximum, maximum });
}
