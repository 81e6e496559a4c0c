//! Tests of the schedule: when calls are started, which are cancelled, and which may return an older list.

use super::*;

const GRACE: Duration = Duration::from_millis(500);
const HOLD: Duration = Duration::from_millis(100);
const INTERVAL: Duration = Duration::from_micros(62_500);

/// A schedule and the time at which it is tested.
struct ScheduleTester {
    schedule: CallSchedule,
    now: Instant,
}

impl ScheduleTester {
    fn new() -> ScheduleTester {
        let now = Instant::now();
        ScheduleTester { schedule: CallSchedule::new(CallTiming::for_grace(GRACE), now), now }
    }

    /// Advances the time to the next call and starts it.
    fn start_next(&mut self) -> (NextCall, Vec<CallId>) {
        self.now = self.now.max(self.schedule.next_call_at());
        self.schedule.start_next(self.now, |_| false)
    }

    /// Returns a schedule whose first call returned a list, and the watch that is in flight after it.
    fn watching() -> (ScheduleTester, CallId) {
        let mut tester = ScheduleTester::new();
        let (first, _) = tester.start_next();
        assert_eq!(tester.on_list(first.id, Update::Changed), []);
        let (watch, _) = tester.start_next();
        assert_eq!(watch.hold, Some(HOLD));
        (tester, watch.id)
    }

    fn on_list(&mut self, id: CallId, update: Update) -> Vec<CallId> {
        self.schedule.on_list(id, update, self.now)
    }

    fn until_next(&self) -> Duration {
        self.schedule.next_call_at().saturating_duration_since(self.now)
    }
}

#[test]
fn first_call_fetches_the_complete_list_immediately_and_watches_follow() {
    let mut tester = ScheduleTester::new();
    assert_eq!(tester.until_next(), Duration::ZERO);
    let (first, cancelled) = tester.start_next();
    assert_eq!((first.hold, cancelled), (None, Vec::new()));
    tester.on_list(first.id, Update::Changed);
    assert_eq!(tester.until_next(), Duration::ZERO);
    let (watch, _) = tester.start_next();
    assert_eq!(watch.hold, Some(HOLD));
    tester.on_list(watch.id, Update::Unchanged);
    assert_eq!(tester.until_next(), UNCHANGED_DELAY);
}

/// While a call is late, further calls are started in parallel. The first of them is a watch, which returns all changes
/// from then on.
#[test]
fn further_calls_are_started_at_intervals_while_one_is_late() {
    let (mut tester, _) = ScheduleTester::watching();
    let started = tester.now;
    let (second, _) = tester.start_next();
    assert_eq!(tester.now - started, HOLD + INTERVAL);
    assert_eq!(second.hold, Some(HOLD));
    // The connection of the second call may be silent as well, so the third does not wait for the end of its watch.
    assert_eq!(tester.until_next(), INTERVAL);
    let (third, _) = tester.start_next();
    assert_eq!(third.hold, Some(HOLD));
    assert_eq!(tester.until_next(), INTERVAL);
    let (fourth, _) = tester.start_next();
    // The oldest call is late by more than two intervals, so the agent may have restarted.
    assert_eq!(fourth.hold, None);
    assert_eq!(tester.until_next(), INTERVAL);
}

/// Responses that take up to the grace period always arrive, since no call that young is cancelled. For slower
/// responses, one call for each grace period is kept until it times out.
#[test]
fn calls_are_not_cancelled_within_the_grace_period_and_some_are_kept_until_they_time_out() {
    const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
    let (mut tester, oldest) = ScheduleTester::watching();
    let mut started = vec![(oldest, tester.now)];
    for _ in 0..200 {
        let (next, cancelled) = tester.start_next();
        started.push((next.id, tester.now));
        for call in cancelled {
            let &(_, at) = started.iter().find(|(id, _)| *id == call).expect("begun");
            assert!(tester.now - at >= GRACE, "cancelled after {:?}", tester.now - at);
            started.retain(|(id, _)| *id != call);
        }
        assert!(started.len() <= MAX_CALLS, "{}", started.len());
        let old = started.iter().filter(|(_, at)| tester.now - *at >= GRACE);
        let old: Vec<_> = old.map(|(_, at)| *at).collect();
        let spaced = old.windows(2).all(|pair| pair[1] - pair[0] < 2 * GRACE);
        assert!(spaced, "calls older than the grace period began at {old:?}");
        if tester.now - started[0].1 >= HEAD_TIMEOUT {
            tester.schedule.on_timeout(started.remove(0).0);
        }
    }
}

#[test]
fn list_cancels_older_calls_and_keeps_newer_ones() {
    let (mut tester, oldest) = ScheduleTester::watching();
    let (second, _) = tester.start_next();
    let (third, _) = tester.start_next();
    assert_eq!(tester.on_list(second.id, Update::Changed), [oldest]);
    // The third call is not late yet.
    assert_eq!(tester.until_next(), INTERVAL);
    assert_eq!(tester.schedule.order(third.id), CallOrder::BeforeList);
    let (fourth, _) = tester.start_next();
    assert_eq!(tester.schedule.order(fourth.id), CallOrder::AfterList);
}

/// Two calls are started at the same instant, one before and one after a list is applied, so start times cannot tell
/// their order.
#[test]
fn order_of_calls_and_lists_does_not_depend_on_start_times() {
    let mut tester = ScheduleTester::new();
    let (first, _) = tester.start_next();
    tester.schedule.request_full_list();
    let (second, _) = tester.start_next();
    tester.on_list(first.id, Update::Changed);
    tester.schedule.request_full_list();
    let (third, _) = tester.start_next();
    assert_eq!(tester.schedule.order(second.id), CallOrder::BeforeList);
    assert_eq!(tester.schedule.order(third.id), CallOrder::AfterList);
}

#[test]
fn list_of_a_restarted_agent_cancels_all_other_calls() {
    let (mut tester, oldest) = ScheduleTester::watching();
    let (second, _) = tester.start_next();
    let (third, _) = tester.start_next();
    assert_eq!(tester.on_list(second.id, Update::Restarted), [oldest, third.id]);
    assert_eq!(tester.until_next(), Duration::ZERO);
}

#[test]
fn stale_changes_cause_a_fetch_of_the_complete_list_immediately() {
    let (mut tester, oldest) = ScheduleTester::watching();
    tester.start_next();
    assert_eq!(tester.on_list(oldest, Update::Stale), []);
    assert_eq!(tester.until_next(), Duration::ZERO);
    assert_eq!(tester.start_next().0.hold, None);
}

#[test]
fn superseded_list_changes_nothing() {
    let (mut tester, oldest) = ScheduleTester::watching();
    let (second, _) = tester.start_next();
    let until_next = tester.until_next();
    assert_eq!(tester.on_list(oldest, Update::Superseded), []);
    assert_eq!(tester.until_next(), until_next);
    assert_eq!(tester.on_list(second.id, Update::Changed), []);
}

/// A reset may mean that the agent has restarted: watches in flight ask for changes since a version of the old process.
#[test]
fn broken_call_cancels_watches_and_the_complete_list_is_fetched_soon() {
    let (mut tester, oldest) = ScheduleTester::watching();
    let (second, _) = tester.start_next();
    let (third, _) = tester.start_next();
    let (fourth, _) = tester.start_next();
    assert_eq!((second.hold, third.hold, fourth.hold), (Some(HOLD), Some(HOLD), None));
    assert_eq!(tester.schedule.on_broken(second.id, tester.now), [oldest, third.id]);
    assert_eq!(tester.until_next(), INTERVAL);
    assert_eq!(tester.start_next().0.hold, None);
}

/// Without a free file descriptor, the next call takes over that of the oldest call, but only after that call has had
/// time to be answered.
#[test]
fn shortage_cancels_the_oldest_call_once_it_is_late_by_half_the_grace_period() {
    let mut tester = ScheduleTester::new();
    let (oldest, _) = tester.start_next();
    let started = tester.now;
    loop {
        let (next, _) = tester.start_next();
        let cancelled = tester.schedule.on_shortage(next.id, tester.now);
        if cancelled.is_empty() {
            assert_eq!(tester.until_next(), INTERVAL);
            continue;
        }
        assert_eq!(cancelled, [oldest.id]);
        let after = tester.now - started;
        assert!((GRACE / 2..GRACE * 3 / 4).contains(&after), "cancelled after {after:?}");
        assert_eq!(tester.until_next(), DESCRIPTOR_REUSE_DELAY);
        return;
    }
}

#[test]
fn call_is_retried_later_after_a_shortage_without_other_calls() {
    let mut tester = ScheduleTester::new();
    let (only, _) = tester.start_next();
    assert_eq!(tester.schedule.on_shortage(only.id, tester.now), []);
    assert_eq!(tester.until_next(), INTERVAL);
}

#[test]
fn list_that_is_too_long_is_not_fetched_again_soon() {
    let mut tester = ScheduleTester::new();
    let (first, _) = tester.start_next();
    tester.schedule.on_too_long(first.id, tester.now);
    assert_eq!(tester.until_next(), TOO_LONG_DELAY);
    assert_eq!(tester.start_next().0.hold, None);
}

/// Even with extreme settings there is some time between two calls, and their number is limited.
#[test]
fn timing_follows_the_grace_period_within_bounds() {
    for (grace_ms, hold_ms, interval_ms) in
        [(0, 20, 20), (8, 20, 20), (200, 40, 25), (1000, 200, 125), (60_000, 500, 500)]
    {
        let timing = CallTiming::for_grace(Duration::from_millis(grace_ms));
        let expected = (Duration::from_millis(hold_ms), Duration::from_millis(interval_ms));
        assert_eq!((timing.hold, timing.interval), expected, "{grace_ms} ms");
    }
}

/// A long list may take longer than the grace period to arrive.
#[test]
fn call_whose_response_is_being_received_is_not_cancelled() {
    let (mut tester, oldest) = ScheduleTester::watching();
    let (received, _) = tester.start_next();
    for _ in 0..20 {
        tester.now = tester.now.max(tester.schedule.next_call_at());
        let (_, cancelled) = tester.schedule.start_next(tester.now, |id| id == received.id);
        assert!(!cancelled.contains(&received.id) && !cancelled.contains(&oldest), "{cancelled:?}");
    }
}
