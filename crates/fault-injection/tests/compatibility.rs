//! Guards the formats of trial files, plans and journals: files of earlier versions must still be read, and the plan
//! and the journal must keep their format.

use std::collections::BTreeSet;
use std::time::Duration;

use fault_injection::expectations::{Completion, Expectation, Metric, Reference, Verdict};
use fault_injection::gossip_relay::DatagramCounts;
use fault_injection::links::{ActiveFault, Impairment, Node};
use fault_injection::runner::{Outcome, Progress};
use fault_injection::sample::{Sample, Totals};
use fault_injection::scenario::{Action, ConfigurationPatch, Scenario, Tenant};
use serde_json::{Value, json};

const EVERY_KEY: &str = include_str!("fixtures/every-key.toml");
const FORMER_KEYS: &str = include_str!("fixtures/former-keys.toml");
/// The plan of `every-key.toml` as a journal contains it.
const PLAN: &str = include_str!("fixtures/every-key.plan.json");

fn parsed(text: &str) -> Scenario {
    Scenario::parse(text, None).expect("a valid scenario file")
}

fn tenant(name: &str, share: f64, quota_per_s: f64) -> Tenant {
    Tenant { name: name.to_owned(), share, quota_per_s }
}

fn sidecars(all: impl IntoIterator<Item = u16>) -> BTreeSet<Node> {
    all.into_iter().map(Node::Sidecar).collect()
}

fn servers(all: impl IntoIterator<Item = u16>) -> BTreeSet<Node> {
    all.into_iter().map(Node::Server).collect()
}

fn active_faults(scenario: &Scenario) -> Vec<ActiveFault> {
    let of = |action: &Action| match action {
        Action::Inject { fault, .. } => Some((**fault).clone()),
        _ => None,
    };
    scenario.events.iter().filter_map(|event| of(&event.action)).collect()
}

#[test]
fn trial_file_with_every_key_is_read() {
    let scenario = parsed(EVERY_KEY);
    assert_eq!((scenario.name.as_str(), scenario.seed), ("every key", 41));
    assert_eq!(scenario.duration, Duration::from_secs(30));
    assert_eq!(
        (scenario.sidecar_count, scenario.servers_per_zone, scenario.server_cores),
        (6, 2, 4)
    );
    assert_eq!(scenario.time_scale, 2.5);
    let load = &scenario.load;
    assert_eq!((load.requests_per_s, load.zipf_exponent, load.client_retries), (120.5, 0.7, 2));
    let tenants = [tenant("qrp-kring-noord", 1.0, 50.5), tenant("radioclub-oost", 2.0, 100.0)];
    assert_eq!(load.tenants, tenants);
    let baseline = Impairment {
        cut: false,
        delay: Duration::from_millis(1),
        jitter: Duration::from_micros(2500),
        loss: 0.01,
        duplicate: 0.02,
        reorder: 0.03,
        corrupt: 0.04,
        rate: 400_000,
    };
    assert_eq!(scenario.baseline, baseline);
    let patch =
        json!({"tier": {"turn_ms": 100}, "settings": {"limits": {"maxRetryAfter": 1_500_000}}});
    let wanted = ConfigurationPatch { sidecars: [0, 1, 2].into(), patch };
    assert_eq!(scenario.configuration_patches, [wanted]);
}

#[test]
fn link_fault_is_read() {
    let impairment = Impairment {
        cut: true,
        delay: Duration::from_millis(10),
        jitter: Duration::from_millis(20),
        loss: 0.1,
        duplicate: 0.2,
        reorder: 0.3,
        corrupt: 0.4,
        rate: 1000,
    };
    let mut to = sidecars(3..6);
    to.extend(servers(0..6));
    let wanted =
        ActiveFault { fault: 0, from: sidecars(0..3), to, both_directions: true, impairment };
    assert_eq!(active_faults(&parsed(EVERY_KEY)), [wanted]);
}

#[test]
fn plan_is_written_in_the_stored_format() {
    let events = serde_json::to_value(parsed(EVERY_KEY).events).expect("JSON");
    let wanted: Value = serde_json::from_str(PLAN).expect("JSON");
    assert_eq!(events, wanted);
}

#[test]
fn expectations_are_read() {
    let radio_club = Some(1);
    let all: BTreeSet<u16> = (0..6).collect();
    let read: Vec<_> = parsed(EVERY_KEY)
        .expectations
        .into_iter()
        .map(|e| (e.metric, e.sidecars, (e.from_s, e.to_s), (e.min, e.max), e.reference, e.line))
        .collect();
    let whole_run = (0.0, 30.0);
    let asked = Some(Reference { metric: Metric::Rate(Completion::Any, None), tolerance: 0.2 });
    let of = |metric, bounds, line| (metric, all.clone(), whole_run, bounds, None, line);
    let wanted = [
        of(Metric::Violations, (None, Some(0.0)), 137),
        (
            Metric::Share(Completion::Served, radio_club),
            all.clone(),
            (1.0, 2.0),
            (Some(0.85), Some(1.0)),
            None,
            141,
        ),
        of(Metric::Share(Completion::InTime, None), (Some(0.1), None), 149),
        of(Metric::Share(Completion::Rejected, None), (None, Some(0.1)), 153),
        of(Metric::Share(Completion::Failed, None), (None, Some(0.2)), 157),
        of(Metric::Rate(Completion::Any, None), (Some(1.0), None), 161),
        of(Metric::Rate(Completion::Served, Some(0)), (Some(2.0), None), 165),
        of(Metric::GossipBytes, (None, Some(1000.0)), 170),
        of(Metric::RetryShare, (None, Some(0.3)), 174),
        of(Metric::SidecarRate("tier.within.radioclub-oost".to_owned()), (None, Some(10.0)), 178),
        (
            Metric::Sidecar("tier.reach".to_owned()),
            [0, 1, 2].into(),
            whole_run,
            (None, None),
            asked,
            182,
        ),
    ];
    assert_eq!(read, wanted);
}

#[test]
fn former_keys_are_read() {
    let scenario = parsed(FORMER_KEYS);
    assert_eq!((scenario.seed, scenario.server_cores, scenario.time_scale), (1, 8, 1.0));
    assert_eq!((scenario.load.zipf_exponent, scenario.load.client_retries), (0.0, 0));
    assert_eq!(scenario.load.tenants, [tenant("radioclub-oost", 1.0, 100.0)]);
    let delay = Duration::from_millis(4);
    assert_eq!(scenario.baseline, Impairment { delay, ..Impairment::default() });
    let impairment = Impairment { cut: true, ..Impairment::default() };
    let (from, to) = (sidecars([0]), servers(0..3));
    assert_eq!(
        active_faults(&scenario),
        [ActiveFault { fault: 0, from, to, both_directions: false, impairment }]
    );
    assert_eq!(
        serde_json::to_value(&scenario.events).expect("JSON"),
        json!([
            {"at_s": 1.0, "fault": 0, "action": {"lay": {"from": ["s0"], "to": ["servers"]}}},
            {"at_s": 2.0, "fault": 1, "action": {"load": [0, 3.0]}},
        ])
    );
    assert_eq!(scenario.expectations[0].metric, Metric::Share(Completion::Served, Some(0)));
}

fn written(progress: &Progress<'_>) -> Value {
    serde_json::to_value(progress).expect("JSON")
}

fn sample() -> Sample {
    let totals = Totals { requested: 9, served: 5, in_time: 4, rejected: 2, failed: 1 };
    Sample {
        at_s: 1.5,
        totals,
        tenants: vec![totals],
        violations: 3,
        server_attempts: 12,
        client_attempts: 11,
        gossip: DatagramCounts { sent: 8, delivered: 7, bytes: 700, overflowed: 1 },
        sidecar_metrics: vec![Some([("members".to_owned(), 2.0)].into()), None],
        resources: Vec::new(),
    }
}

#[test]
fn journal_lines_of_a_running_scenario_are_written_in_the_stored_format() {
    let scenario = parsed(FORMER_KEYS);
    let begins = written(&Progress::Started {
        name: &scenario.name,
        seed: scenario.seed,
        duration_s: scenario.duration.as_secs_f64(),
        sidecar_count: scenario.sidecar_count,
        events: &scenario.events[1..],
    });
    let act = json!({"at_s": 2.0, "fault": 1, "action": {"load": [0, 3.0]}});
    let wanted =
        json!({"name": "former keys", "seed": 1, "seconds": 5.0, "sidecars": 3, "acts": [act]});
    assert_eq!(begins, json!({ "begins": wanted }));
    assert_eq!(written(&Progress::Event(&scenario.events[1])), json!({ "act": act }));

    let totals = json!({"asked": 9, "served": 5, "in_time": 4, "refused": 2, "failed": 1});
    let wanted = json!({
        "at_s": 1.5, "all": totals, "tenants": [totals], "broken": 3, "attempts": 12, "tries": 11,
        "notes": {"sent": 8, "arrived": 7, "bytes": 700, "overflowed": 1},
        "own": [{"members": 2.0}, null],
    });
    assert_eq!(written(&Progress::Sample(&sample())), json!({ "look": wanted }));
}

#[test]
fn journal_line_of_an_outcome_is_written_in_the_stored_format() {
    let verdict = Verdict {
        line: 28,
        metric: "Broken".to_owned(),
        passed: false,
        min: 0.25,
        max: 0.5,
        observations: 2,
        reason: Some("over the span: 0.250".to_owned()),
    };
    let outcome = Outcome {
        passed: false,
        verdicts: vec![verdict],
        account: Default::default(),
        problems: vec!["s1 has ended by itself".to_owned()],
        samples: vec![sample()],
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
    assert_eq!(written(&Progress::Finished(&outcome)), json!({ "ends": wanted }));
}

#[test]
fn metric_names_in_verdicts_are_those_of_earlier_versions() {
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
        let metric = Metric::parse(name, None).expect("a metric");
        let sidecars = [0].into();
        let (from_s, to_s, min, max, reference, line) = (0.0, 1.0, Some(0.0), None, None, 1);
        let expectation = Expectation { metric, sidecars, from_s, to_s, min, max, reference, line };
        assert_eq!(expectation.evaluate(&[]).metric, written);
    }
}
