//! A run's file: sizes, changes, faults, and what must hold. Errors name line and key. No I/O.

use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::Spanned;

/// The most hollow sidecars, real ones, control machines, seconds and faults of a run.
pub const MOST_SIDECARS: usize = 8000;
pub const MOST_REAL: usize = 64;
const MOST_CONTROLS: usize = 48;
const MOST_SECONDS: f64 = 900.0;
const MOST_FAULTS: usize = 64;
/// What a hollow sidecar takes of this machine, with all that is there for it, in KiB; and a real one.
const HOLLOW_KB: u64 = 400;
const REAL_KB: u64 = 24 << 10;

/// A run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What is drawn, is drawn from this.
    #[serde(default)]
    pub seed: u64,
    seconds: Spanned<f64>,
    /// Who is there.
    pub size: Size,
    /// What is changed.
    pub changes: Changes,
    #[serde(default)]
    fault: Vec<Spanned<Fault>>,
    #[serde(default)]
    expect: Vec<Spanned<Expectation>>,
}

/// Who is there.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    sidecars: Spanned<usize>,
    #[serde(default)]
    real: Option<Spanned<usize>>,
    zones: Spanned<usize>,
    regions: Spanned<usize>,
    services: Spanned<usize>,
    controls: Spanned<usize>,
}

/// What is changed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Seconds between two changes that concern all.
    every_s: Spanned<f64>,
    /// Bytes of a document.
    bytes: Spanned<usize>,
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub what: What,
    /// When, in seconds after all have the first change.
    pub at_s: f64,
    /// For how long; without it, to the end.
    pub for_s: Option<f64>,
    /// Which control machine, zone or region.
    #[serde(default)]
    pub of: usize,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A control machine is killed, and started again with its disk.
    KillControl,
    /// One is stopped: its connections stay open and silent.
    StopControl,
    /// A region's control machines cannot reach the origin.
    CutRegion,
    /// All sidecars of a zone are killed, and started again.
    KillZone,
    /// The origin is killed, and another started in its place.
    ReplaceOrigin,
}

/// What must hold.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// A figure of the report.
    pub figure: String,
    /// At the least.
    pub least: Option<f64>,
    /// At the most.
    pub most: Option<f64>,
}

/// The line that a place in the text is on, from 1.
fn line(text: &str, at: &Range<usize>) -> usize {
    1 + text.bytes().take(at.start).filter(|&b| b == b'\n').count()
}

fn within<T: PartialOrd + std::fmt::Display + Copy>(
    text: &str,
    value: &Spanned<T>,
    key: &str,
    (from, to): (T, T),
) -> Result<T, String> {
    let v = *value.as_ref();
    if v >= from && v <= to {
        return Ok(v);
    }
    let line = line(text, &value.span());
    Err(format!("line {line}: {key}: from {from} to {to} expected, not {v}"))
}

impl Plan {
    /// Reads and checks a file's text; `sidecars` stands in for the file's own number.
    ///
    /// # Errors
    ///
    /// The line, the key and what was expected there.
    pub fn parse(text: &str, sidecars: Option<usize>) -> Result<Plan, String> {
        let mut plan: Plan = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(1, |at| line(text, &at));
            format!("line {line}: {}", e.message())
        })?;
        if let Some(n) = sidecars {
            plan.size.sidecars = Spanned::new(plan.size.sidecars.span(), n);
        }
        let size = &plan.size;
        let all = within(text, &size.sidecars, "size.sidecars", (1, MOST_SIDECARS))?;
        if let Some(real) = &size.real {
            within(text, real, "size.real", (0, MOST_REAL))?;
        }
        let controls = within(text, &size.controls, "size.controls", (1, MOST_CONTROLS))?;
        let zones = within(text, &size.zones, "size.zones", (1, controls.min(all)))?;
        let regions = within(text, &size.regions, "size.regions", (1, zones))?;
        within(text, &size.services, "size.services", (1, all))?;
        within(text, &plan.seconds, "seconds", (1.0, MOST_SECONDS))?;
        within(text, &plan.changes.every_s, "changes.every_s", (0.05, MOST_SECONDS))?;
        within(text, &plan.changes.bytes, "changes.bytes", (32, 200_000))?;
        if plan.fault.len() > MOST_FAULTS {
            return Err(format!("fault: {MOST_FAULTS} at most expected"));
        }
        for fault in &plan.fault {
            let f = fault.as_ref();
            let line = line(text, &fault.span());
            let seconds = *plan.seconds.as_ref();
            if !(0.0..=seconds).contains(&f.at_s) {
                return Err(format!("line {line}: fault.at_s: from 0 to {seconds} expected"));
            }
            let most = match f.what {
                What::KillControl | What::StopControl => controls,
                What::CutRegion => regions,
                What::KillZone => zones,
                What::ReplaceOrigin => 1,
            };
            if f.of >= most {
                return Err(format!("line {line}: fault.of: below {most} expected, not {}", f.of));
            }
        }
        for expectation in &plan.expect {
            let e = expectation.as_ref();
            if e.least.is_none() && e.most.is_none() {
                let line = line(text, &expectation.span());
                return Err(format!("line {line}: expect.least, most: one of them expected"));
            }
        }
        Ok(plan)
    }

    /// Whether this machine may play it: under half of its memory, `memory_kb` being all of it.
    ///
    /// # Errors
    ///
    /// What it would take.
    pub fn fits(&self, memory_kb: u64) -> Result<u64, String> {
        let takes = self.sidecars() as u64 * HOLLOW_KB + self.real() as u64 * REAL_KB;
        if takes > memory_kb / 2 {
            let (takes, half) = (takes >> 10, memory_kb >> 11);
            return Err(format!(
                "it would take {takes} MB, and half of this machine's memory is {half} MB"
            ));
        }
        Ok(takes)
    }

    /// How long it is played, from when all have the first change.
    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(*self.seconds.as_ref())
    }

    /// Hollow sidecars.
    pub fn sidecars(&self) -> usize {
        *self.size.sidecars.as_ref()
    }

    /// Real ones.
    pub fn real(&self) -> usize {
        self.size.real.as_ref().map_or(0, |r| *r.as_ref())
    }

    /// Zones.
    pub fn zones(&self) -> usize {
        *self.size.zones.as_ref()
    }

    /// Regions.
    pub fn regions(&self) -> usize {
        *self.size.regions.as_ref()
    }

    /// Services.
    pub fn services(&self) -> usize {
        *self.size.services.as_ref()
    }

    /// Control machines.
    pub fn controls(&self) -> usize {
        *self.size.controls.as_ref()
    }

    /// The region of a zone, and so of a control machine, which is in the zone of its number.
    pub fn region(&self, zone: usize) -> usize {
        (zone % self.zones()) * self.regions() / self.zones()
    }

    /// Between two changes.
    pub fn every(&self) -> Duration {
        Duration::from_secs_f64(*self.changes.every_s.as_ref())
    }

    /// Bytes of a document.
    pub fn bytes(&self) -> usize {
        *self.changes.bytes.as_ref()
    }

    /// What goes wrong.
    pub fn faults(&self) -> impl Iterator<Item = &Fault> {
        self.fault.iter().map(Spanned::as_ref)
    }

    /// What must hold.
    pub fn expectations(&self) -> impl Iterator<Item = &Expectation> {
        self.expect.iter().map(Spanned::as_ref)
    }
}
