//! The file of a scale test: sizes, changes, faults, and what must hold. No I/O.

use std::fmt::Display;
use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// The most hollow sidecars.
pub const MAX_SIDECARS: usize = 8000;
/// The most real sidecars.
pub const MAX_REAL_SIDECARS: usize = 64;
const MAX_CONTROL_SERVERS: usize = 48;
const MAX_DURATION_S: f64 = 900.0;
const MAX_FAULTS: usize = 64;
const MIN_CHANGE_INTERVAL_S: f64 = 0.05;
const MIN_DOCUMENT_BYTES: usize = 32;
const MAX_DOCUMENT_BYTES: usize = 200_000;
/// The memory of a hollow sidecar with its part of everything else, in KiB.
const HOLLOW_SIDECAR_KIB: u64 = 400;
/// The memory of a real sidecar with its part of everything else, in KiB.
const REAL_SIDECAR_KIB: u64 = 24 << 10;

/// A scale test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The seed of everything that is drawn.
    #[serde(default)]
    pub seed: u64,
    #[serde(rename = "seconds")]
    duration_s: Spanned<f64>,
    /// How many of everything there are.
    pub size: Size,
    /// The changes of configuration.
    pub changes: Changes,
    #[serde(default, rename = "fault")]
    faults: Vec<Spanned<Fault>>,
    #[serde(default, rename = "expect")]
    expectations: Vec<Spanned<Expectation>>,
}

/// How many of everything there are.
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

/// The changes of configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Seconds between two changes, each of which concerns all sidecars.
    #[serde(rename = "every_s")]
    interval_s: Spanned<f64>,
    /// The length of a document.
    bytes: Spanned<usize>,
}

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins, in seconds after the first change is in force everywhere.
    pub at_s: f64,
    /// How long it lasts, in seconds; without it, to the end of the run.
    #[serde(rename = "for_s")]
    pub duration_s: Option<f64>,
    /// The number of the control server, zone or region.
    #[serde(default, rename = "of")]
    pub target: usize,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A control server is killed, and restarted with its stored state.
    KillControl,
    /// A control server is paused: its connections stay open and silent.
    StopControl,
    /// The control servers of a region cannot reach the origin.
    CutRegion,
    /// All hollow sidecars of a zone are killed, and started anew.
    KillZone,
    /// The origin is killed, and another one started in its place.
    ReplaceOrigin,
}

/// What must hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The name of a metric of the report.
    #[serde(rename = "figure")]
    pub metric: String,
    /// The lower bound.
    #[serde(rename = "least")]
    pub min: Option<f64>,
    /// The upper bound.
    #[serde(rename = "most")]
    pub max: Option<f64>,
}

/// An error in a plan file, or a plan that is too large.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A problem at a line of the file.
    #[error("line {line}: {problem}")]
    AtLine {
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        problem: Problem,
    },
    /// The file has more faults than are allowed.
    #[error("fault: {limit} at most expected")]
    TooManyFaults {
        /// The greatest number.
        limit: usize,
    },
    /// The run would take more than half of the machine's memory.
    #[error("it would take {needed_mib} MB, and half of this machine's memory is {half_mib} MB")]
    TooLarge {
        /// What the run would take, in MiB.
        needed_mib: u64,
        /// Half of the machine's memory, in MiB.
        half_mib: u64,
    },
}

/// What is wrong at a place in the file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// It is no TOML, or no plan.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of its range.
    #[error("{key}: from {min} to {max} expected, not {value}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The least value.
        min: String,
        /// The greatest value.
        max: String,
        /// The value in the file.
        value: String,
    },
    /// A fault begins after the end of the run.
    #[error("fault.at_s: from 0 to {duration_s} expected")]
    FaultTime {
        /// The length of the run, in seconds.
        duration_s: f64,
    },
    /// A fault's target does not exist.
    #[error("fault.of: below {count} expected, not {target}")]
    FaultTarget {
        /// How many targets there are.
        count: usize,
        /// The target in the file.
        target: usize,
    },
    /// An expectation without a bound.
    #[error("expect.least, most: one of them expected")]
    NoBound,
}

impl Problem {
    fn at(self, text: &str, place: &Range<usize>) -> PlanError {
        let line = 1 + text.bytes().take(place.start).filter(|&byte| byte == b'\n').count();
        PlanError::AtLine { line, problem: self }
    }
}

/// The value, if it is in its range.
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
    /// The first problem, with its line and key.
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

    /// Checks that the run takes at most half of the machine's memory, which is `total_kib`. Returns what it takes,
    /// in KiB.
    ///
    /// # Errors
    ///
    /// When it would take more.
    pub fn check_memory(&self, total_kib: u64) -> Result<u64, PlanError> {
        let needed_kib = self.sidecar_count() as u64 * HOLLOW_SIDECAR_KIB
            + self.real_sidecar_count() as u64 * REAL_SIDECAR_KIB;
        if needed_kib > total_kib / 2 {
            let (needed_mib, half_mib) = (needed_kib >> 10, total_kib >> 11);
            return Err(PlanError::TooLarge { needed_mib, half_mib });
        }
        Ok(needed_kib)
    }

    /// How long the run takes after the first change is in force everywhere.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(*self.duration_s.as_ref())
    }

    /// The number of hollow sidecars.
    pub fn sidecar_count(&self) -> usize {
        *self.size.sidecars.as_ref()
    }

    /// The number of real sidecars.
    pub fn real_sidecar_count(&self) -> usize {
        self.size.real.as_ref().map_or(0, |real| *real.as_ref())
    }

    /// The number of zones.
    pub fn zone_count(&self) -> usize {
        *self.size.zones.as_ref()
    }

    /// The number of regions.
    pub fn region_count(&self) -> usize {
        *self.size.regions.as_ref()
    }

    /// The number of services.
    pub fn service_count(&self) -> usize {
        *self.size.services.as_ref()
    }

    /// The number of control servers.
    pub fn control_server_count(&self) -> usize {
        *self.size.control_servers.as_ref()
    }

    /// The region of a zone. A control server is in the zone of its own number.
    pub fn region_of(&self, zone: usize) -> usize {
        (zone % self.zone_count()) * self.region_count() / self.zone_count()
    }

    /// The time between two changes.
    pub fn change_interval(&self) -> Duration {
        Duration::from_secs_f64(*self.changes.interval_s.as_ref())
    }

    /// The length of a document in bytes.
    pub fn document_bytes(&self) -> usize {
        *self.changes.bytes.as_ref()
    }

    /// The faults, in the order of the file.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.faults.iter().map(Spanned::as_ref)
    }

    /// What must hold, in the order of the file.
    pub fn expectations(&self) -> impl Iterator<Item = &Expectation> {
        self.expectations.iter().map(Spanned::as_ref)
    }
}
