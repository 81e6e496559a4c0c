//! The expectations of a run: bounds on metrics of the account and of the sidecars over a span of time. This module
//! does no I/O.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::sample::Sample;

pub use metric::{Completion, Metric, UnknownMetric};

mod metric;
#[cfg(test)]
mod tests;

/// The length of the span before each sample over which a sidecar metric's reference is computed, in seconds.
const REFERENCE_WINDOW_S: f64 = 2.0;
/// Tolerance for rounding when samples are looked up by time, in seconds.
const TIME_TOLERANCE_S: f64 = 1e-9;

/// A condition on a metric that must hold over a span of a run.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The metric.
    pub metric: Metric,
    /// The sidecars whose own metrics are observed.
    pub sidecars: BTreeSet<u16>,
    /// The beginning of the span, in seconds from the start of the run.
    pub from_s: f64,
    /// The end of the span, in seconds from the start of the run.
    pub to_s: f64,
    /// The lower bound. `None` means unbounded.
    pub min: Option<f64>,
    /// The upper bound. `None` means unbounded.
    pub max: Option<f64>,
    /// Another metric that this one must be close to.
    pub reference: Option<Reference>,
    /// The line of the expectation in the file, from 1.
    pub line: usize,
}

/// A metric that another one is compared with.
#[derive(Clone, Debug, PartialEq)]
pub struct Reference {
    /// The metric to compare with.
    pub metric: Metric,
    /// The maximum difference, as a share of the reference value.
    pub tolerance: f64,
}

/// The result of an expectation, with the observed values.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The line of the expectation in the file, from 1.
    pub line: usize,
    /// The name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// Whether the expectation held.
    #[serde(rename = "held")]
    pub passed: bool,
    /// The minimum of the observed values.
    #[serde(rename = "least")]
    pub min: f64,
    /// The maximum of the observed values.
    #[serde(rename = "most")]
    pub max: f64,
    /// The number of observed values.
    #[serde(rename = "looks")]
    pub observations: usize,
    /// A description of the first value that was out of bounds. `None` if all were within.
    #[serde(rename = "why")]
    pub reason: Option<String>,
}

/// The value of a reference metric at the time of an observation.
struct ReferenceValue {
    /// The value. `None` if the metric has no value at that time.
    value: Option<f64>,
    tolerance: f64,
}

impl Expectation {
    /// Evaluates the samples of a run. An expectation without any observation fails.
    pub fn evaluate(&self, samples: &[Sample]) -> Verdict {
        let mut verdict = Verdict {
            line: self.line,
            metric: self.metric.to_string(),
            passed: true,
            min: f64::INFINITY,
            max: f64::NEG_INFINITY,
            observations: 0,
            reason: None,
        };
        match &self.metric {
            Metric::Sidecar(name) => self.evaluate_each_sample(name, samples, &mut verdict),
            _ => self.evaluate_span(samples, &mut verdict),
        }
        if verdict.observations == 0 {
            verdict.passed = false;
            verdict.reason = Some("the metric was not observed".to_owned());
        }
        verdict
    }

    /// Observes a sidecar metric of every selected sidecar in every sample of the span.
    fn evaluate_each_sample(&self, name: &str, samples: &[Sample], verdict: &mut Verdict) {
        let sidecar_count = sidecar_count(samples);
        for sample in samples.iter().filter(|s| (self.from_s..=self.to_s).contains(&s.at_s)) {
            let before = sample_at(samples, sample.at_s - REFERENCE_WINDOW_S);
            let reference = self.reference.as_ref().map(|reference| ReferenceValue {
                value: before.and_then(|b| reference.metric.between(b, sample, sidecar_count)),
                tolerance: reference.tolerance,
            });
            for &n in &self.sidecars {
                let metrics = sample.sidecar_metrics.get(usize::from(n)).and_then(Option::as_ref);
                if let Some(&value) = metrics.and_then(|metrics| metrics.get(name)) {
                    let place = format!("s{n} at {:.1} s", sample.at_s);
                    self.observe(value, reference.as_ref(), &place, verdict);
                }
            }
        }
    }

    /// Observes a metric once, over the whole span.
    fn evaluate_span(&self, samples: &[Sample], verdict: &mut Verdict) {
        let sidecar_count = sidecar_count(samples);
        let from = sample_at(samples, self.from_s).or(samples.first());
        let (Some(from), Some(to)) = (from, sample_at(samples, self.to_s)) else { return };
        let reference = self.reference.as_ref().map(|reference| ReferenceValue {
            value: reference.metric.between(from, to, sidecar_count),
            tolerance: reference.tolerance,
        });
        if let Some(value) = self.metric.between(from, to, sidecar_count) {
            self.observe(value, reference.as_ref(), "over the span", verdict);
        }
    }

    fn observe(
        &self,
        value: f64,
        reference: Option<&ReferenceValue>,
        place: &str,
        verdict: &mut Verdict,
    ) {
        verdict.observations += 1;
        verdict.min = verdict.min.min(value);
        verdict.max = verdict.max.max(value);
        let below = self.min.is_some_and(|min| value < min);
        let above = self.max.is_some_and(|max| value > max);
        let mut reason = (below || above).then(|| format!("{place}: {value:.3}"));
        match reference {
            Some(ReferenceValue { value: Some(other), tolerance })
                if (value - other).abs() > tolerance * other.abs() =>
            {
                reason = Some(format!("{place}: {value:.3}, reference {other:.3}"));
            }
            Some(ReferenceValue { value: None, .. }) => {
                reason = Some(format!("{place}: the reference metric has no value"));
            }
            _ => {}
        }
        if let Some(reason) = reason {
            verdict.passed = false;
            verdict.reason.get_or_insert(reason);
        }
    }
}

fn sidecar_count(samples: &[Sample]) -> usize {
    samples.first().map_or(0, |sample| sample.sidecar_metrics.len())
}

/// Returns the last sample that was taken by this time.
fn sample_at(samples: &[Sample], seconds: f64) -> Option<&Sample> {
    samples.iter().rev().find(|sample| sample.at_s <= seconds + TIME_TOLERANCE_S)
}
