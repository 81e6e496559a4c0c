//! Tests of generating and checking soak runs.

use std::collections::BTreeSet;

use fakes::account::Report;

use super::*;
use crate::scenario::{Action, Event, ServerState};

const SIZE: SoakSize = SoakSize { sidecars: 24, duration: Duration::from_secs(36) };

fn plan(seed: u64) -> String {
    serde_json::to_string(&draw(seed, SIZE).events).expect("a plan")
}

#[test]
fn plan_follows_from_the_seed() {
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

#[test]
fn faults_are_in_order_and_over_before_the_quiet_end() {
    for seed in 0..200 {
        let scenario = draw(seed, SIZE);
        let times: Vec<f64> = scenario.events.iter().map(|event| event.at_s).collect();
        assert!(times.is_sorted(), "seed {seed}: {times:?}");
        let last_s = (SIZE.duration - QUIET_END).as_secs_f64();
        assert!(times.iter().all(|&at_s| (0.0..=last_s).contains(&at_s)), "seed {seed}: {times:?}");
    }
}

#[test]
fn most_plans_have_faults_that_overlap() {
    let overlapping = |events: &[Event]| {
        let close =
            |pair: &[Event]| pair[0].fault != pair[1].fault && pair[1].at_s - pair[0].at_s < 1.0;
        events.windows(2).any(close)
    };
    let count = (0..200).filter(|&seed| overlapping(&draw(seed, SIZE).events)).count();
    assert!(count > 190, "{count} of 200");
}

/// The times at which servers are withdrawn, each with the servers.
fn withdrawals(events: &[Event]) -> Vec<(f64, &BTreeSet<u16>)> {
    fn withdrawn(event: &Event) -> Option<(f64, &BTreeSet<u16>)> {
        match &event.action {
            Action::SetServers(servers, ServerState::Draining | ServerState::Removed) => {
                Some((event.at_s, servers))
            }
            _ => None,
        }
    }
    events.iter().filter_map(withdrawn).collect()
}

#[test]
fn in_every_plan_servers_are_withdrawn_soon_after_another_change() {
    for seed in 0..200 {
        let scenario = draw(seed, SIZE);
        let withdrawals = withdrawals(&scenario.events);
        let soon = |pair: &[(f64, &BTreeSet<u16>)]| pair[1].0 - pair[0].0 < 2.5;
        assert!(withdrawals.windows(2).any(soon), "seed {seed}: {withdrawals:?}");
    }
}

#[test]
fn in_every_plan_servers_hang_while_clients_leave() {
    for seed in 0..200 {
        let scenario = draw(seed, SIZE);
        let hang = |event: &Event| match &event.action {
            Action::SetServers(servers, ServerState::Hangs(_)) => servers.len() == 4,
            _ => false,
        };
        assert!(scenario.events.iter().any(hang), "seed {seed}");
        assert!(scenario.load.leave_share >= 0.05, "seed {seed}");
    }
}

#[test]
fn in_every_plan_servers_send_broken_rejections() {
    for seed in 0..200 {
        let rejecting = |event: &Event| {
            matches!(&event.action, Action::SetServers(_, ServerState::BrokenRejections(_)))
        };
        assert!(draw(seed, SIZE).events.iter().any(rejecting), "seed {seed}");
    }
}

#[test]
fn in_every_plan_servers_answer_twice() {
    for seed in 0..200 {
        let repeating = |event: &Event| match &event.action {
            Action::SetServers(servers, ServerState::SecondAnswers(_)) => servers.len() == 6,
            _ => false,
        };
        assert!(draw(seed, SIZE).events.iter().any(repeating), "seed {seed}");
    }
}

#[test]
fn in_every_plan_servers_draw_the_bodies_of_responses() {
    for seed in 0..200 {
        let drawing = |event: &Event| match &event.action {
            Action::SetServers(servers, ServerState::DrawnBodies(_)) => servers.len() == 6,
            _ => false,
        };
        assert!(draw(seed, SIZE).events.iter().any(drawing), "seed {seed}");
    }
}

#[test]
fn half_of_the_plans_poll_their_lists() {
    let polled = (0..200).filter(|&seed| polls_lists(&draw(seed, SIZE))).count();
    assert!((70..=130).contains(&polled), "{polled} of 200");
}

fn sample(at_s: f64, served: u64, rejected: u64) -> Sample {
    let totals = Totals { served, rejected, ..Totals::default() };
    Sample { at_s, totals, ..Sample::default() }
}

fn outcome(samples: Vec<Sample>, account: Report) -> Outcome {
    Outcome { passed: false, verdicts: Vec::new(), account, problems: Vec::new(), samples }
}

#[test]
fn every_failed_check_is_a_finding() {
    let scenario = draw(1, SIZE);
    let recovered = || vec![sample(32.0, 100, 0), sample(36.0, 200, 5)];
    let passing = outcome(recovered(), Report::default());
    assert_eq!(check_outcome(&scenario, &passing, Vec::new()), Findings::default());
    let lost = Report { lost: 1, examples: vec!["x".to_owned()], ..Report::default() };
    let findings = check_outcome(&scenario, &outcome(recovered(), lost), Vec::new());
    assert_eq!(findings.0, ["1 violations in the account of all requests", "1 lost", "x"]);
    let down = vec![sample(32.0, 100, 0), sample(36.0, 110, 100)];
    assert_eq!(check_outcome(&scenario, &outcome(down, Report::default()), Vec::new()).0.len(), 1);
    let retried = vec![sample(32.0, 100, 20), sample(36.0, 200, 5)];
    let served_in_the_end = outcome(retried, Report::default());
    assert_eq!(check_outcome(&scenario, &served_in_the_end, Vec::new()), Findings::default());
    let crashed =
        Outcome { problems: vec!["s1 has ended by itself".to_owned()], ..passing.clone() };
    assert_eq!(check_outcome(&scenario, &crashed, Vec::new()).0.len(), 1);
    assert_eq!(
        check_outcome(&scenario, &passing, vec!["s1: protocol rule violated".to_owned()]).0.len(),
        1
    );
}

#[test]
fn sidecar_beyond_its_limits_at_the_end_is_found() {
    let within = ResourceUse {
        descriptors: 64,
        max_descriptors: 64,
        memory_kib: 32 << 10,
        max_memory_kib: 32 << 10,
    };
    let findings = |used: ResourceUse| {
        let last = Sample { resources: vec![None, Some(used)], ..Sample::default() };
        resource_findings(&last).count()
    };
    assert_eq!(findings(within), 0);
    assert_eq!(findings(ResourceUse { descriptors: 65, ..within }), 1);
    assert_eq!(findings(ResourceUse { memory_kib: (32 << 10) + 1, ..within }), 1);
}
