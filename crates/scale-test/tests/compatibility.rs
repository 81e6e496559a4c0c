//! Files of earlier versions are read as they were, and what they say is written in the same form.

use std::time::Duration;

use scale_test::plan::Plan;
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");

fn values<T: serde::Serialize>(all: impl Iterator<Item = T>) -> Value {
    all.map(|one| serde_json::to_value(one).expect("JSON")).collect()
}

#[test]
fn run_file_with_every_key_is_read() {
    let plan = Plan::parse(EVERY_KEY, None).expect("a sound file");
    assert_eq!((plan.name.as_str(), plan.seed), ("every key", 7));
    assert_eq!(plan.length(), Duration::from_millis(12_500));
    assert_eq!((plan.sidecars(), plan.real()), (120, 2));
    assert_eq!((plan.zones(), plan.regions()), (4, 2));
    assert_eq!((plan.services(), plan.controls()), (20, 5));
    assert_eq!((plan.every(), plan.bytes()), (Duration::from_millis(1250), 1000));
    let regions: Vec<_> = (0..5).map(|zone| plan.region(zone)).collect();
    assert_eq!(regions, [0, 0, 1, 1, 0]);
}

#[test]
fn faults_and_expectations_are_read_and_written_in_their_form() {
    let plan = Plan::parse(EVERY_KEY, None).expect("a sound file");
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
fn number_of_sidecars_is_replaced_and_defaults_hold() {
    let short = EVERY_KEY.replace("seed = 7\n", "").replace("real = 2\n", "");
    let plan = Plan::parse(&short, Some(300)).expect("a sound file");
    assert_eq!((plan.seed, plan.sidecars(), plan.real()), (0, 300, 0));
}
