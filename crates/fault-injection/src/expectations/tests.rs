//! Tests of expectations.

use super::*;
use crate::sample::Totals;

fn sample(at_s: f64, requested: u64, served: u64, members: &[f64]) -> Sample {
    let totals = Totals { requested, served, ..Totals::default() };
    let metrics = |m: &f64| (*m > 0.0).then(|| [("members".to_owned(), *m)].into());
    let sidecar_metrics = members.iter().map(metrics).collect();
    Sample { at_s, totals, tenants: vec![totals], sidecar_metrics, ..Sample::default() }
}

fn expectation(name: &str, from_s: f64, to_s: f64) -> Expectation {
    let metric = Metric::parse(name, None).expect("a metric");
    let sidecars = [0, 1].into();
    Expectation { metric, sidecars, from_s, to_s, min: None, max: None, reference: None, line: 1 }
}

#[test]
fn shares_are_of_the_operations_within_the_span() {
    let samples = [
        sample(0.0, 0, 0, &[]),
        sample(1.0, 100, 90, &[]),
        sample(2.0, 200, 140, &[]),
        sample(3.0, 300, 240, &[]),
    ];
    let share = |from, to, min| {
        let expected = Expectation { min: Some(min), ..expectation("served_share", from, to) };
        expected.evaluate(&samples)
    };
    assert!(share(0.0, 3.0, 0.8).passed && !share(0.0, 3.0, 0.81).passed);
    assert!(share(2.0, 3.0, 1.0).passed && !share(1.0, 2.0, 0.51).passed);
    let never = expectation("served_share", 2.0, 2.0).evaluate(&samples);
    assert!(!never.passed && never.observations == 0, "a span without requests shows nothing");
}

#[test]
fn sidecar_metrics_are_checked_one_by_one() {
    let samples = [
        sample(1.0, 8, 8, &[2.0, 2.0]),
        sample(2.0, 16, 8, &[2.0, 0.0]),
        sample(3.0, 24, 8, &[9.0, 1.0]),
    ];
    let two =
        Expectation { min: Some(2.0), max: Some(2.0), ..expectation("own.members", 0.0, 2.5) };
    let seen = two.evaluate(&samples);
    assert!(
        seen.passed && seen.observations == 3,
        "a sidecar without an answer is ignored: {seen:?}"
    );
    let late = Expectation { to_s: 3.0, ..two.clone() }.evaluate(&samples);
    assert!(!late.passed && late.reason.as_deref() == Some("s0 at 3.0 s: 9.000"), "{late:?}");
    assert!(
        !Expectation { from_s: 3.5, to_s: 4.0, ..two }.evaluate(&samples).passed,
        "no sidecar has answered"
    );
    let requested = Metric::parse("asked_per_s", None).expect("a metric");
    let reference = Some(Reference { metric: requested, tolerance: 0.15 });
    let near = Expectation { reference, ..expectation("own.members", 3.0, 3.0) };
    let seen = near.evaluate(&samples);
    assert!(
        !seen.passed && seen.reason.as_deref() == Some("s1 at 3.0 s: 1.000, reference 8.000"),
        "{seen:?}"
    );
}
