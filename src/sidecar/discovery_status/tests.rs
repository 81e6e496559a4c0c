//! Tests of when a list counts as overdue and of what is counted while it does.

use super::*;

const BOUND: Duration = Duration::from_millis(500);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn list_is_overdue_once_it_was_not_confirmed_for_longer_than_the_bound() {
    let (status, start) = (DiscoveryStatus::default(), Instant::now());
    status.record_call(start, &"agent");
    status.check_overdue(after(start, 500), BOUND, 1);
    status.record_attempt();
    assert!(!status.is_overdue());
    status.check_overdue(after(start, 501), BOUND, 1);
    status.check_overdue(after(start, 600), BOUND, 1);
    status.record_attempt();
    let snapshot = status.snapshot(after(start, 600));
    assert!(snapshot.is_overdue);
    assert_eq!((snapshot.overdue_periods, snapshot.attempts_while_overdue), (1, 1));
    assert_eq!(snapshot.last_answer, None);
}

/// An answer confirms the list as of the start of its call, not as of its own arrival.
#[test]
fn answer_confirms_the_list_as_of_the_start_of_its_call() {
    let (status, start) = (DiscoveryStatus::default(), Instant::now());
    status.record_call(start, &"agent");
    status.record_list(41, after(start, 100), after(start, 400));
    // The answer to an older call does not move the confirmation back.
    status.record_list(41, start, after(start, 450));
    let snapshot = status.snapshot(after(start, 500));
    assert_eq!(snapshot.unconfirmed, Some(Duration::from_millis(400)));
    assert_eq!(snapshot.last_answer, Some(Duration::from_millis(50)));
    assert_eq!(snapshot.longest_unconfirmed, Duration::from_millis(400));
    assert_eq!(snapshot.version, 41);
}

#[test]
fn answer_ends_an_overdue_period() {
    let (status, start) = (DiscoveryStatus::default(), Instant::now());
    status.record_call(start, &"agent");
    status.check_overdue(after(start, 700), BOUND, 1);
    status.record_list(1, after(start, 690), after(start, 710));
    status.record_attempt();
    let snapshot = status.snapshot(after(start, 710));
    assert!(!snapshot.is_overdue);
    assert_eq!(snapshot.attempts_while_overdue, 0);
    status.check_overdue(after(start, 1300), BOUND, 1);
    assert_eq!(status.snapshot(after(start, 1300)).overdue_periods, 2);
}

#[test]
fn snapshot_has_a_line_for_each_value() {
    let (status, start) = (DiscoveryStatus::default(), Instant::now());
    let unused = status.snapshot(start).to_string();
    assert!(unused.contains("discovery.last_answer_ms=-1\n"), "{unused}");
    status.record_call(start, &"agent");
    status.record_outcome(CallOutcome::TimedOut);
    status.record_outcome(CallOutcome::Superseded);
    status.record_list(7, start, after(start, 3));
    let text = status.snapshot(after(start, 5)).to_string();
    for line in [
        "discovery.version=7",
        "discovery.last_answer_ms=2",
        "discovery.unconfirmed_ms=5",
        "discovery.calls.started=1",
        "discovery.calls.answered=1",
        "discovery.calls.broken=0",
        "discovery.calls.timed_out=1",
        "discovery.calls.superseded=1",
    ] {
        assert!(text.lines().any(|reported| reported == line), "{line} in {text}");
    }
}
