//! Tests that plan files and reports keep the form of earlier versions.

use std::time::Duration;

use scale_test::plan::Plan;
use scale_test::report::{Change, Cost, Report};
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");

fn values<T: serde::Serialize>(all: impl Iterator<Item = T>) -> Value {
    all.map(|one| serde_json::to_value(one).expect("JSON")).collect()
}

#[test]
fn plan_file_with_every_key_is_parsed() {
    let plan = Plan::parse(EVERY_KEY, None).expect("a valid file");
    assert_eq!((plan.name.as_str(), plan.seed), ("every key", 7));
    assert_eq!(plan.duration(), Duration::from_millis(12_500));
    assert_eq!((plan.sidecar_count(), plan.real_sidecar_count()), (120, 2));
    assert_eq!((plan.zone_count(), plan.region_count()), (4, 2));
    assert_eq!((plan.service_count(), plan.control_server_count()), (20, 5));
    assert_eq!(
        (plan.change_interval(), plan.document_bytes()),
        (Duration::from_millis(1250), 1000)
    );
    let regions: Vec<_> = (0..5).map(|zone| plan.region_of(zone)).collect();
    assert_eq!(regions, [0, 0, 1, 1, 0]);
}

#[test]
fn faults_and_expectations_are_parsed_and_serialized_unchanged() {
    let plan = Plan::parse(EVERY_KEY, None).expect("a valid file");
    assert_eq!(
        values(plan.faults()),
        json!([
            {"what": "kill_control", "at_s": 1.0, "for_s": 2.0, "of": 4},
            {"what": "stop_control", "at_s": 3.0, "for_s": 1.5, "of": 1},
            {"what": "cut_region", "at_s": 5.0, "for_s": 1.0, "of": 1},
            {"what": "kill_zone", "at_s": 7.0, "for_s": 1.0, "of": 3},
            {"what": "replace_origin", "at_s": 9.0, "for_s": null, "of": 0},
        ])
    );
    assert_eq!(
        values(plan.expectations()),
        json!([
            {"figure": "in_force_s", "least": 0.25, "most": 7.0},
            {"figure": "went_back", "least": null, "most": 0.0},
        ])
    );
}

#[test]
fn sidecar_count_is_overridden_and_defaults_apply() {
    let short = EVERY_KEY.replace("seed = 7\n", "").replace("real = 2\n", "");
    let plan = Plan::parse(&short, Some(300)).expect("a valid file");
    assert_eq!((plan.seed, plan.sidecar_count(), plan.real_sidecar_count()), (0, 300, 0));
}

#[test]
fn report_is_serialized_in_the_form_of_earlier_versions() {
    let cost = Cost {
        cpu_quiet: 0.125,
        cpu_quiet_max: 0.25,
        cpu_changing: 0.5,
        cpu_changing_max: 0.75,
        rss_kib_max: 2048,
        rss_kib_mean: 1024,
    };
    let active_faults = "CutRegion 1".to_owned();
    let change = Change { generation: 4, at_s: 1.5, propagation_s: Some(0.5), active_faults };
    let report = Report {
        sidecar_count: 120,
        real_sidecar_count: 2,
        start_s: 3.5,
        changes: vec![change],
        metrics: [("went_back".to_owned(), 0.0)].into(),
        costs: [("hollow".to_owned(), cost)].into(),
        failures: vec!["x: no such figure".to_owned()],
    };
    assert_eq!(
        serde_json::to_value(report).expect("JSON"),
        json!({
            "sidecars": 120,
            "real": 2,
            "start_s": 3.5,
            "changes": [
                {"generation": 4, "at_s": 1.5, "took_s": 0.5, "during": "CutRegion 1"},
            ],
            "figures": {"went_back": 0.0},
            "costs": {"hollow": {
                "cpu_quiet": 0.125, "cpu_quiet_most": 0.25, "cpu_changing": 0.5,
                "cpu_changing_most": 0.75, "rss_kb_most": 2048, "rss_kb": 1024,
            }},
            "not_held": ["x: no such figure"],
        })
    );
}
