//! A small run of the real thing, and the file and figures of any.

use fakes::program::built;
use scale_test::figures::fit;
use scale_test::plan::Plan;
use scale_test::run::play;

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

/// The bounds on time are measured elsewhere: here what is published is in force at all in the end.
#[test]
fn a_small_fleet_has_every_change_in_force_through_a_cut_and_a_death() {
    let plan = Plan::parse(SMALL, None).expect("sound");
    let own = built("lbctl", false).expect("the program");
    let report = play(&plan, &own, |_| {}).expect("it can be played");
    assert_eq!(report.not_held, Vec::<String>::new());
    assert!(report.changes.len() >= 4, "{:?}", report.changes);
    assert!(report.changes.iter().all(|c| c.took_s.is_some()), "{:?}", report.changes);
    assert_eq!(report.figures["hosts"], 122.0);
    assert!(report.costs["hollow"].rss_kb > 0 && report.costs["real"].rss_kb > 0);
}

#[test]
fn errors_name_line_and_key() {
    let wrong = [
        ("sidecars = 120", "sidecars = 9000", "line 7: size.sidecars: from 1 to 8000"),
        ("zones = 3", "zones = 4", "line 9: size.zones: from 1 to 3 expected, not 4"),
        ("every_s = 1.0", "every_s = 0", "line 15: changes.every_s"),
        ("of = 1", "of = 3", "line 18: fault.of: below 3 expected, not 3"),
        ("what = \"kill_control\"", "what = \"eat\"", "line 25: unknown variant"),
        ("most = 0", "", "line 30: expect.least, most"),
        ("seed = 3", "seeds = 3", "line 3: unknown field"),
    ];
    for (from, to, why) in wrong {
        let told = Plan::parse(&SMALL.replacen(from, to, 1), None).expect_err(to);
        assert!(told.starts_with(why), "{told} instead of {why}");
    }
    let plan = Plan::parse(SMALL, Some(8000)).expect("sound");
    assert!(plan.fits(64 << 20).is_ok());
    let why = plan.fits(4 << 20).expect_err("too much for this machine");
    assert!(why.contains("half of this machine's memory is 2048 MB"), "{why}");
}

#[test]
fn a_line_is_fitted_and_what_lies_beside_it_is_told() {
    let line = fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.5), (4.0, 8.5)]).expect("a line");
    assert!((line.slope - 1.9).abs() < 1e-9 && (line.base - 1.25).abs() < 1e-9, "{line:?}");
    assert!((line.residuals[2] - 0.55).abs() < 1e-9 && line.residuals.len() == 4);
    assert!(fit(&[(1.0, 2.0)]).is_none() && fit(&[(1.0, 2.0), (1.0, 3.0)]).is_none());
}
