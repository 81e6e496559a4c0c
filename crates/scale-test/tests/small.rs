//! Tests of a small run with real processes, of errors in plan files, and of the regression.

use fakes::program::built;
use scale_test::plan::Plan;
use scale_test::regression::fit_line;
use scale_test::runner::run;

const SMALL: &str = r#"
name = "small"
seed = 3
seconds = 8

[size]
sidecars = 120
real = 2
zones = 3
regions = 3
services = 20
controls = 3

[changes]
every_s = 1.0
bytes = 1000

[[fault]]
what = "cut_region"
at_s = 2
for_s = 1.5
of = 1

[[fault]]
what = "kill_control"
at_s = 5
for_s = 1
of = 2

[[expect]]
figure = "went_back"
most = 0

[[expect]]
figure = "declined"
most = 0
"#;

/// Checks that every change is in force everywhere by the end. The bounds on propagation times are checked by the runs
/// in `runs/`.
#[test]
fn every_change_gets_everywhere_despite_a_partition_and_a_killed_control_server() {
    let plan = Plan::parse(SMALL, None).expect("a valid plan");
    let own_program = built("lbctl", false).expect("the program");
    let report = run(&plan, &own_program, |_| {}).expect("the run is carried out");
    assert_eq!(report.failures, Vec::<String>::new());
    assert!(report.changes.len() >= 4, "{:?}", report.changes);
    assert!(report.changes.iter().all(|c| c.propagation_s.is_some()), "{:?}", report.changes);
    assert_eq!(report.metrics["hosts"], 122.0);
    assert!(report.costs["hollow"].rss_kib_mean > 0 && report.costs["real"].rss_kib_mean > 0);
}

#[test]
fn errors_name_line_and_key() {
    let wrong = [
        ("sidecars = 120", "sidecars = 9000", "line 7: size.sidecars: must be from 1 to 8000"),
        ("zones = 3", "zones = 4", "line 9: size.zones: must be from 1 to 3, not 4"),
        ("every_s = 1.0", "every_s = 0", "line 15: changes.every_s"),
        ("of = 1", "of = 3", "line 18: fault.of: must be below 3, not 3"),
        ("what = \"kill_control\"", "what = \"eat\"", "line 25: unknown variant"),
        ("most = 0", "", "line 30: expect.least, most"),
        ("seed = 3", "seeds = 3", "line 3: unknown field"),
    ];
    for (from, to, message) in wrong {
        let error = Plan::parse(&SMALL.replacen(from, to, 1), None).expect_err(to).to_string();
        assert!(error.starts_with(message), "{error} instead of {message}");
    }
    let plan = Plan::parse(SMALL, Some(8000)).expect("a valid plan");
    assert!(plan.check_memory(64 << 20).is_ok());
    let error = plan.check_memory(4 << 20).expect_err("too much for this machine").to_string();
    assert!(error.contains("half of this machine's memory is 2048 MB"), "{error}");
}

#[test]
fn line_is_fitted_with_residuals() {
    let line = fit_line(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.5), (4.0, 8.5)]).expect("a line");
    assert!((line.slope - 1.9).abs() < 1e-9 && (line.intercept - 1.25).abs() < 1e-9, "{line:?}");
    assert!((line.residuals[2] - 0.55).abs() < 1e-9 && line.residuals.len() == 4);
    assert!(fit_line(&[(1.0, 2.0)]).is_none() && fit_line(&[(1.0, 2.0), (1.0, 3.0)]).is_none());
}
