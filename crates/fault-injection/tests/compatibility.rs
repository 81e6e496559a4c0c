//! Trial files of earlier versions are read as they were, and the plan and the journal are written as they were.

use std::collections::BTreeSet;
use std::time::Duration;

use fault_injection::expectations::{Ended, Measure, Sample, Totals, Verdict};
use fault_injection::links::{Laid, Part, Shape};
use fault_injection::notes::Passed;
use fault_injection::play::{Outcome, Told};
use fault_injection::scenario::{Action, Scenario, Tenant};
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");
const FORMER_KEYS: &str = include_str!("fixtures/former-keys.toml");
/// The plan of `every-key.toml`, as the program wrote it into a journal.
const PLAN: &str = include_str!("fixtures/every-key.plan.json");

fn parsed(text: &str) -> Scenario {
    Scenario::parse(text, None).expect("a sound file")
}

fn tenant(name: &str, share: f64, quota_per_s: f64) -> Tenant {
    Tenant { name: name.to_owned(), share, quota_per_s }
}

fn sidecars(all: impl IntoIterator<Item = u16>) -> BTreeSet<Part> {
    all.into_iter().map(Part::Sidecar).collect()
}

fn servers(all: impl IntoIterator<Item = u16>) -> BTreeSet<Part> {
    all.into_iter().map(Part::Server).collect()
}

fn laid(scenario: &Scenario) -> Vec<Laid> {
    let of = |action: &Action| match action {
        Action::Lay { laid, .. } => Some((**laid).clone()),
        _ => None,
    };
    scenario.acts.iter().filter_map(|act| of(&act.action)).collect()
}

#[test]
fn trial_file_with_every_key_is_read() {
    let scenario = parsed(EVERY_KEY);
    assert_eq!((scenario.name.as_str(), scenario.seed), ("every key", 41));
    assert_eq!(scenario.length, Duration::from_secs(30));
    assert_eq!((scenario.sidecars, scenario.servers, scenario.cores), (6, 2, 4));
    assert_eq!(scenario.stretch, 2.5);
    let load = &scenario.load;
    assert_eq!((load.per_s, load.uneven, load.retries), (120.5, 0.7, 2));
    let tenants = [tenant("qrp-kring-noord", 1.0, 50.5), tenant("radioclub-oost", 2.0, 100.0)];
    assert_eq!(load.tenants, tenants);
    let ground = Shape {
        cut: false,
        delay: Duration::from_millis(1),
        jitter: Duration::from_micros(2500),
        loss: 0.01,
        twice: 0.02,
        late: 0.03,
        spoilt: 0.04,
        rate: 400_000,
    };
    assert_eq!(scenario.ground, ground);
    let set =
        json!({"tier": {"turn_ms": 100}, "settings": {"limits": {"maxRetryAfter": 1_500_000}}});
    assert_eq!(scenario.configured, [([0, 1, 2].into(), set)]);
}

#[test]
fn link_fault_is_read() {
    let shape = Shape {
        cut: true,
        delay: Duration::from_millis(10),
        jitter: Duration::from_millis(20),
        loss: 0.1,
        twice: 0.2,
        late: 0.3,
        spoilt: 0.4,
        rate: 1000,
    };
    let mut to = sidecars(3..6);
    to.extend(servers(0..6));
    let wanted = Laid { fault: 0, from: sidecars(0..3), to, both: true, shape };
    assert_eq!(laid(&parsed(EVERY_KEY)), [wanted]);
}

#[test]
fn plan_is_written_in_its_form() {
    let acts = serde_json::to_value(parsed(EVERY_KEY).acts).expect("JSON");
    let wanted: Value = serde_json::from_str(PLAN).expect("JSON");
    assert_eq!(acts, wanted);
}

#[test]
fn expectations_are_read() {
    let radio_club = Some(1);
    let all: BTreeSet<u16> = (0..6).collect();
    let read: Vec<_> = parsed(EVERY_KEY)
        .expectations
        .into_iter()
        .map(|e| (e.measure, e.of, (e.from_s, e.to_s), (e.least, e.most), e.near, e.line))
        .collect();
    let whole = (0.0, 30.0);
    let asked = Some((Measure::PerS(Ended::Asked, None), 0.2));
    let of = |measure, bounds, line| (measure, all.clone(), whole, bounds, None, line);
    let wanted = [
        of(Measure::Broken, (None, Some(0.0)), 137),
        (
            Measure::Share(Ended::Served, radio_club),
            all.clone(),
            (1.0, 2.0),
            (Some(0.85), Some(1.0)),
            None,
            141,
        ),
        of(Measure::Share(Ended::InTime, None), (Some(0.1), None), 149),
        of(Measure::Share(Ended::Refused, None), (None, Some(0.1)), 153),
        of(Measure::Share(Ended::Failed, None), (None, Some(0.2)), 157),
        of(Measure::PerS(Ended::Asked, None), (Some(1.0), None), 161),
        of(Measure::PerS(Ended::Served, Some(0)), (Some(2.0), None), 165),
        of(Measure::NoteBytes, (None, Some(1000.0)), 170),
        of(Measure::Repeats, (None, Some(0.3)), 174),
        of(Measure::OwnPerS("tier.within.radioclub-oost".to_owned()), (None, Some(10.0)), 178),
        (Measure::Own("tier.reach".to_owned()), [0, 1, 2].into(), whole, (None, None), asked, 182),
    ];
    assert_eq!(read, wanted);
}

#[test]
fn former_keys_are_read() {
    let scenario = parsed(FORMER_KEYS);
    assert_eq!((scenario.seed, scenario.cores, scenario.stretch), (1, 8, 1.0));
    assert_eq!((scenario.load.uneven, scenario.load.retries), (0.0, 0));
    assert_eq!(scenario.load.tenants, [tenant("radioclub-oost", 1.0, 100.0)]);
    let delay = Duration::from_millis(4);
    assert_eq!(scenario.ground, Shape { delay, ..Shape::default() });
    let shape = Shape { cut: true, ..Shape::default() };
    let (from, to) = (sidecars([0]), servers(0..3));
    assert_eq!(laid(&scenario), [Laid { fault: 0, from, to, both: false, shape }]);
    assert_eq!(
        serde_json::to_value(&scenario.acts).expect("JSON"),
        json!([
            {"at_s": 1.0, "fault": 0, "action": {"lay": {"from": ["s0"], "to": ["servers"]}}},
            {"at_s": 2.0, "fault": 1, "action": {"load": [0, 3.0]}},
        ])
    );
    assert_eq!(scenario.expectations[0].measure, Measure::Share(Ended::Served, Some(0)));
}

#[test]
fn journal_lines_are_written_in_their_form() {
    let scenario = parsed(FORMER_KEYS);
    let written = |told: &Told<'_>| serde_json::to_value(told).expect("JSON");
    let begins = written(&Told::Begins {
        name: &scenario.name,
        seed: scenario.seed,
        seconds: scenario.length.as_secs_f64(),
        sidecars: scenario.sidecars,
        acts: &scenario.acts[1..],
    });
    let act = json!({"at_s": 2.0, "fault": 1, "action": {"load": [0, 3.0]}});
    let wanted =
        json!({"name": "former keys", "seed": 1, "seconds": 5.0, "sidecars": 3, "acts": [act]});
    assert_eq!(begins, json!({ "begins": wanted }));
    assert_eq!(written(&Told::Act(&scenario.acts[1])), json!({ "act": act }));

    let all = Totals { asked: 9, served: 5, in_time: 4, refused: 2, failed: 1 };
    let look = Sample {
        at_s: 1.5,
        all,
        tenants: vec![all],
        broken: 3,
        attempts: 12,
        tries: 11,
        notes: Passed { sent: 8, arrived: 7, bytes: 700, overflowed: 1 },
        own: vec![Some([("members".to_owned(), 2.0)].into()), None],
    };
    let totals = json!({"asked": 9, "served": 5, "in_time": 4, "refused": 2, "failed": 1});
    let wanted = json!({
        "at_s": 1.5, "all": totals, "tenants": [totals], "broken": 3, "attempts": 12, "tries": 11,
        "notes": {"sent": 8, "arrived": 7, "bytes": 700, "overflowed": 1},
        "own": [{"members": 2.0}, null],
    });
    assert_eq!(written(&Told::Look(&look)), json!({ "look": wanted }));

    let verdict = Verdict {
        line: 28,
        figure: "Broken".to_owned(),
        held: false,
        least: 0.25,
        most: 0.5,
        looks: 2,
        why: Some("over the span: 0.250".to_owned()),
    };
    let outcome = Outcome {
        held: false,
        verdicts: vec![verdict],
        account: Default::default(),
        troubles: vec!["s1 has ended by itself".to_owned()],
        looks: vec![look],
    };
    let wanted = json!({
        "held": false,
        "verdicts": [{
            "line": 28, "figure": "Broken", "held": false, "least": 0.25, "most": 0.5,
            "looks": 2, "why": "over the span: 0.250",
        }],
        "account": {
            "classes": [], "tenants": [], "servers": {}, "tries": 0, "lost": 0, "lost_by_kill": 0,
            "late": 0, "late_by_stall": 0, "doubled_orders": 0, "doubled_uploads": 0,
            "refused_but_ran": 0, "after_the_end": 0, "wrong": 0, "strangers": 0,
            "refused_connections": 0, "unread": 0, "crossed": 0, "examples": [],
        },
        "troubles": ["s1 has ended by itself"],
    });
    assert_eq!(written(&Told::Ends(&outcome)), json!({ "ends": wanted }));
}

#[test]
fn names_of_measures_in_verdicts_are_those_of_earlier_versions() {
    let names = [
        ("broken", "Broken"),
        ("served_share", "Share(Served, None)"),
        ("in_time_share", "Share(InTime, None)"),
        ("refused_share", "Share(Refused, None)"),
        ("failed_share", "Share(Failed, None)"),
        ("asked_per_s", "PerS(Asked, None)"),
        ("served_per_s", "PerS(Served, None)"),
        ("note_bytes_per_s", "NoteBytes"),
        ("repeats_share", "Repeats"),
        ("own.tier.reach", "Own(\"tier.reach\")"),
        ("grown_per_s.tier.late", "OwnPerS(\"tier.late\")"),
    ];
    for (name, written) in names {
        let measure = Measure::named(name, None).expect("a figure");
        assert_eq!(format!("{measure:?}"), written);
    }
}
