//! Plan files of scale tests: sizes, changes, faults and expectations. No I/O.

use std::fmt::Display;
use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// The maximum number of hollow sidecars.
pub const MAX_SIDECARS: usize = 8000;
/// The maximum number of real sidecars.
pub const MAX_REAL_SIDECARS: usize = 64;
const MAX_CONTROL_SERVERS: usize = 48;
const MAX_DURATION_S: f64 = 900.0;
const MAX_FAULTS: usize = 64;
const MIN_CHANGE_INTERVAL_S: f64 = 0.05;
const MIN_DOCUMENT_BYTES: usize = 32;
const MAX_DOCUMENT_BYTES: usize = 200_000;
/// The memory per hollow sidecar, including its share of all other processes, in KiB.
const HOLLOW_SIDECAR_KIB: u64 = 400;
/// The memory per real sidecar, including its share of all other processes, in KiB.
const REAL_SIDECAR_KIB: u64 = 24 << 10;

/// The plan of a scale test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name of the test.
    pub name: String,
    /// The seed of all random choices.
    #[serde(default)]
    pub seed: u64,
    #[serde(rename = "seconds")]
    duration_s: Spanned<f64>,
    /// The size of the test.
    pub size: Size,
    /// The configuration changes.
    pub changes: Changes,
    #[serde(default, rename = "fault")]
    faults: Vec<Spanned<Fault>>,
    #[serde(default, rename = "expect")]
    expectations: Vec<Spanned<Expectation>>,
}

/// The size of a test: the numbers of sidecars, zones, regions, services and control servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    sidecars: Spanned<usize>,
    #[serde(default)]
    real: Option<Spanned<usize>>,
    zones: Spanned<usize>,
    regions: Spanned<usize>,
    services: Spanned<usize>,
    #[serde(rename = "controls")]
    control_servers: Spanned<usize>,
}

/// The configuration changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The time between two changes in seconds. Each change affects all sidecars.
    #[serde(rename = "every_s")]
    interval_s: Spanned<f64>,
    /// The length of a document in bytes.
    bytes: Spanned<usize>,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The start of the fault, in seconds after the first change is in force everywhere.
    pub at_s: f64,
    /// The duration in seconds. `None` means until the end of the run.
    #[serde(rename = "for_s")]
    pub duration_s: Option<f64>,
    /// The number of the affected control server, zone or region.
    #[serde(default, rename = "of")]
    pub target: usize,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A control server is killed, and restarted with its stored state.
    KillControl,
    /// A control server is paused. Its connections stay open, but it does not respond.
    StopControl,
    /// The control servers of a region are partitioned from the origin.
    CutRegion,
    /// All hollow sidecars of a zone are killed, and restarted.
    KillZone,
    /// The origin is killed and replaced by another one.
    ReplaceOrigin,
}

/// An expectation: the bounds of a metric.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The name of a metric of the report.
    #[serde(rename = "figure")]
    pub metric: String,
    /// The lower bound, if any.
    #[serde(rename = "least")]
    pub min: Option<f64>,
    /// The upper bound, if any.
    #[serde(rename = "most")]
    pub max: Option<f64>,
}

/// An error in a plan file, or a plan that is too large.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A problem at a line of the file.
    #[error("line {line}: {problem}")]
    AtLine {
        /// The line number, from 1.
        line: usize,
        /// The problem at this line.
        problem: Problem,
    },
    /// The file has too many faults.
    #[error("fault: must be at most {limit} in total")]
    TooManyFaults {
        /// The maximum number of faults.
        limit: usize,
    },
    /// The run would need more than half of the machine's memory.
    #[error("the run needs {needed_mib} MB, but half of this machine's memory is {half_mib} MB")]
    TooLarge {
        /// The memory that the run would need, in MiB.
        needed_mib: u64,
        /// Half of the machine's memory, in MiB.
        half_mib: u64,
    },
}

/// A problem in a plan file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The text is not valid TOML, or has a wrong key or type.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of range.
    #[error("{key}: must be from {min} to {max}, not {value}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The minimum value.
        min: String,
        /// The maximum value.
        max: String,
        /// The value in the file.
        value: String,
    },
    /// A fault does not begin within the run.
    #[error("fault.at_s: must be from 0 to {duration_s}")]
    FaultTime {
        /// The duration of the run, in seconds.
        duration_s: f64,
    },
    /// The target of a fault does not exist.
    #[error("fault.of: must be below {count}, not {target}")]
    FaultTarget {
        /// The number of targets.
        count: usize,
        /// The target in the file.
        target: usize,
    },
    /// An expectation has no bound.
    #[error("expect.least, most: at least one of them must be set")]
    NoBound,
}

impl Problem {
    fn at(self, text: &str, place: &Range<usize>) -> PlanError {
        let line = 1 + text.bytes().take(place.start).filter(|&byte| byte == b'\n').count();
        PlanError::AtLine { line, problem: self }
    }
}

/// Returns the value if it is from `min` to `max`.
fn in_range<T: PartialOrd + Display + Copy>(
    text: &str,
    value: &Spanned<T>,
    key: &'static str,
    (min, max): (T, T),
) -> Result<T, PlanError> {
    let number = *value.as_ref();
    if number >= min && number <= max {
        return Ok(number);
    }
    let (min, max, value_text) = (min.to_string(), max.to_string(), number.to_string());
    let problem = Problem::OutOfRange { key, min, max, value: value_text };
    Err(problem.at(text, &value.span()))
}

impl Plan {
    /// Reads and checks the text of a plan file. `sidecar_count` replaces the number of hollow sidecars in the file.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and key.
    pub fn parse(text: &str, sidecar_count: Option<usize>) -> Result<Plan, PlanError> {
        let mut plan: Plan = toml::from_str(text).map_err(|error| {
            let problem = Problem::Syntax(error.message().to_owned());
            problem.at(text, &error.span().unwrap_or(0..0))
        })?;
        if let Some(count) = sidecar_count {
            plan.size.sidecars = Spanned::new(plan.size.sidecars.span(), count);
        }
        plan.check_size(text)?;
        in_range(text, &plan.duration_s, "seconds", (1.0, MAX_DURATION_S))?;
        let changes = &plan.changes;
        let interval = (MIN_CHANGE_INTERVAL_S, MAX_DURATION_S);
        in_range(text, &changes.interval_s, "changes.every_s", interval)?;
        let bytes = (MIN_DOCUMENT_BYTES, MAX_DOCUMENT_BYTES);
        in_range(text, &changes.bytes, "changes.bytes", bytes)?;
        plan.check_faults(text)?;
        plan.check_expectations(text)?;
        Ok(plan)
    }

    fn check_size(&self, text: &str) -> Result<(), PlanError> {
        let size = &self.size;
        let sidecars = in_range(text, &size.sidecars, "size.sidecars", (1, MAX_SIDECARS))?;
        if let Some(real) = &size.real {
            in_range(text, real, "size.real", (0, MAX_REAL_SIDECARS))?;
        }
        let controls = (1, MAX_CONTROL_SERVERS);
        let controls = in_range(text, &size.control_servers, "size.controls", controls)?;
        let zones = in_range(text, &size.zones, "size.zones", (1, controls.min(sidecars)))?;
        in_range(text, &size.regions, "size.regions", (1, zones))?;
        in_range(text, &size.services, "size.services", (1, sidecars))?;
        Ok(())
    }

    fn check_faults(&self, text: &str) -> Result<(), PlanError> {
        if self.faults.len() > MAX_FAULTS {
            return Err(PlanError::TooManyFaults { limit: MAX_FAULTS });
        }
        for spanned in &self.faults {
            self.check_fault(spanned.as_ref())
                .map_err(|problem| problem.at(text, &spanned.span()))?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), Problem> {
        let duration_s = *self.duration_s.as_ref();
        if !(0.0..=duration_s).contains(&fault.at_s) {
            return Err(Problem::FaultTime { duration_s });
        }
        let count = match fault.kind {
            FaultKind::KillControl | FaultKind::StopControl => self.control_server_count(),
            FaultKind::CutRegion => self.region_count(),
            FaultKind::KillZone => self.zone_count(),
            FaultKind::ReplaceOrigin => 1,
        };
        if fault.target >= count {
            return Err(Problem::FaultTarget { count, target: fault.target });
        }
        Ok(())
    }

    fn check_expectations(&self, text: &str) -> Result<(), PlanError> {
        for spanned in &self.expectations {
            let expectation = spanned.as_ref();
            if expectation.min.is_none() && expectation.max.is_none() {
                return Err(Problem::NoBound.at(text, &spanned.span()));
            }
        }
        Ok(())
    }

    /// Checks that the run needs at most half of `total_kib`, the memory of the machine. Returns the memory that the
    /// run needs, in KiB.
    ///
    /// # Errors
    ///
    /// [`PlanError::TooLarge`] if the run needs more.
    pub fn check_memory(&self, total_kib: u64) -> Result<u64, PlanError> {
        let needed_kib = self.sidecar_count() as u64 * HOLLOW_SIDECAR_KIB
            + self.real_sidecar_count() as u64 * REAL_SIDECAR_KIB;
        if needed_kib > total_kib / 2 {
            let (needed_mib, half_mib) = (needed_kib >> 10, total_kib >> 11);
            return Err(PlanError::TooLarge { needed_mib, half_mib });
        }
        Ok(needed_kib)
    }

    /// Returns the duration of the run after the first change is in force everywhere.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(*self.duration_s.as_ref())
    }

    /// Returns the number of hollow sidecars.
    pub fn sidecar_count(&self) -> usize {
        *self.size.sidecars.as_ref()
    }

    /// Returns the number of real sidecars.
    pub fn real_sidecar_count(&self) -> usize {
        self.size.real.as_ref().map_or(0, |real| *real.as_ref())
    }

    /// Returns the number of zones.
    pub fn zone_count(&self) -> usize {
        *self.size.zones.as_ref()
    }

    /// Returns the number of regions.
    pub fn region_count(&self) -> usize {
        *self.size.regions.as_ref()
    }

    /// Returns the number of services.
    pub fn service_count(&self) -> usize {
        *self.size.services.as_ref()
    }

    /// Returns the number of control servers.
    pub fn control_server_count(&self) -> usize {
        *self.size.control_servers.as_ref()
    }

    /// Returns the region of a zone, or of a control server, which is in the zone of the same number modulo the number
    /// of zones.
    pub fn region_of(&self, zone: usize) -> usize {
        (zone % self.zone_count()) * self.region_count() / self.zone_count()
    }

    /// Returns the time between two changes.
    pub fn change_interval(&self) -> Duration {
        Duration::from_secs_f64(*self.changes.interval_s.as_ref())
    }

    /// Returns the length of a document in bytes.
    pub fn document_bytes(&self) -> usize {
        *self.changes.bytes.as_ref()
    }

    /// Returns the faults, in the order of the file.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter().map(Spanned::as_ref)
    }

    /// Returns the expectations, in the order of the file.
    pub fn expectations(&self) -> impl Iterator<Item = &Expectation> {
        self.expectations.iter().map(Spanned::as_ref)
    }
}
