//! When calls begin, which are given up, and which may have an old list.

use super::*;

const GRACE: Duration = Duration::from_millis(500);
const HOLD: Duration = Duration::from_millis(100);
const INTERVAL: Duration = Duration::from_micros(62_500);

/// A schedule with its clock.
struct Bench {
    schedule: CallSchedule,
    now: Instant,
}

impl Bench {
    fn new() -> Bench {
        let now = Instant::now();
        Bench { schedule: CallSchedule::new(AgentTimes::within(GRACE), now), now }
    }

    /// Passes the time until the next call, and begins it.
    fn begin(&mut self) -> (NextCall, Vec<CallId>) {
        self.now = self.now.max(self.schedule.next_call_at());
        self.schedule.begin(self.now, |_| false)
    }

    /// A schedule whose first call brought a list and whose next call is a watch under way.
    fn watching() -> (Bench, CallId) {
        let mut bench = Bench::new();
        let (first, _) = bench.begin();
        assert_eq!(bench.list(first.id, Update::Changed), []);
        let (watch, _) = bench.begin();
        assert_eq!(watch.hold, Some(HOLD));
        (bench, watch.id)
    }

    fn list(&mut self, id: CallId, update: Update) -> Vec<CallId> {
        self.schedule.on_list(id, update, self.now)
    }

    fn until_next(&self) -> Duration {
        self.schedule.next_call_at().saturating_duration_since(self.now)
    }
}

#[test]
fn first_call_fetches_the_complete_list_at_once_and_watches_follow() {
    let mut bench = Bench::new();
    assert_eq!(bench.until_next(), Duration::ZERO);
    let (first, given_up) = bench.begin();
    assert_eq!((first.hold, given_up), (None, Vec::new()));
    bench.list(first.id, Update::Changed);
    assert_eq!(bench.until_next(), Duration::ZERO);
    let (watch, _) = bench.begin();
    assert_eq!(watch.hold, Some(HOLD));
    bench.list(watch.id, Update::Unchanged);
    assert_eq!(bench.until_next(), UNCHANGED_DELAY);
}

/// A call that is late is joined by others, the first of them a watch, which covers all changes from then on.
#[test]
fn late_call_is_joined_by_others_at_intervals() {
    let (mut bench, _) = Bench::watching();
    let begun = bench.now;
    let (second, _) = bench.begin();
    assert_eq!(bench.now - begun, HOLD + INTERVAL);
    assert_eq!(second.hold, Some(HOLD));
    let (third, _) = bench.begin();
    // By now it is not only slow.
    assert_eq!(third.hold, None);
    assert_eq!(bench.until_next(), INTERVAL);
}

/// Whatever time an answer takes up to the grace period, there is always a call that is as old. Where it takes longer,
/// one call for each grace period is kept until it times out.
#[test]
fn calls_are_not_given_up_within_the_grace_period_and_some_not_at_all() {
    const PATIENCE: Duration = Duration::from_secs(2);
    let (mut bench, oldest) = Bench::watching();
    let mut begun = vec![(oldest, bench.now)];
    for _ in 0..200 {
        let (next, given_up) = bench.begin();
        begun.push((next.id, bench.now));
        for call in given_up {
            let &(_, at) = begun.iter().find(|(id, _)| *id == call).expect("begun");
            assert!(bench.now - at >= GRACE, "given up after {:?}", bench.now - at);
            begun.retain(|(id, _)| *id != call);
        }
        assert!(begun.len() <= MAX_CALLS, "{}", begun.len());
        let old = begun.iter().filter(|(_, at)| bench.now - *at >= GRACE);
        let old: Vec<_> = old.map(|(_, at)| *at).collect();
        let spaced = old.windows(2).all(|pair| pair[1] - pair[0] < 2 * GRACE);
        assert!(spaced, "calls older than the grace period began at {old:?}");
        if bench.now - begun[0].1 >= PATIENCE {
            bench.schedule.on_timeout(begun.remove(0).0);
        }
    }
}

#[test]
fn list_ends_the_older_calls_and_leaves_the_newer() {
    let (mut bench, oldest) = Bench::watching();
    let (second, _) = bench.begin();
    let (third, _) = bench.begin();
    assert_eq!(bench.list(second.id, Update::Changed), [oldest]);
    // The third is not late yet.
    assert_eq!(bench.until_next(), INTERVAL);
    assert_eq!(bench.schedule.order(third.id), CallOrder::BesideList);
    let (fourth, _) = bench.begin();
    assert_eq!(bench.schedule.order(fourth.id), CallOrder::AfterList);
}

/// Two calls that begin at the same moment, one before and one after the list: times alone do not tell.
#[test]
fn order_of_calls_and_lists_does_not_follow_from_times() {
    let mut bench = Bench::new();
    let (first, _) = bench.begin();
    bench.schedule.request_full_list();
    let (second, _) = bench.begin();
    bench.list(first.id, Update::Changed);
    bench.schedule.request_full_list();
    let (third, _) = bench.begin();
    assert_eq!(bench.schedule.order(second.id), CallOrder::BesideList);
    assert_eq!(bench.schedule.order(third.id), CallOrder::AfterList);
}

#[test]
fn list_of_an_agent_that_counts_anew_ends_all_other_calls() {
    let (mut bench, oldest) = Bench::watching();
    let (second, _) = bench.begin();
    let (third, _) = bench.begin();
    assert_eq!(bench.list(second.id, Update::Restarted), [oldest, third.id]);
    assert_eq!(bench.until_next(), Duration::ZERO);
}

#[test]
fn stale_changes_lead_to_the_complete_list_at_once() {
    let (mut bench, oldest) = Bench::watching();
    bench.begin();
    assert_eq!(bench.list(oldest, Update::Stale), []);
    assert_eq!(bench.until_next(), Duration::ZERO);
    assert_eq!(bench.begin().0.hold, None);
}

#[test]
fn overtaken_list_changes_nothing() {
    let (mut bench, oldest) = Bench::watching();
    let (second, _) = bench.begin();
    let until_next = bench.until_next();
    assert_eq!(bench.list(oldest, Update::Overtaken), []);
    assert_eq!(bench.until_next(), until_next);
    assert_eq!(bench.list(second.id, Update::Changed), []);
}

/// A reset may mean that the agent is another process now: changes that are asked for are since a version of
/// the old one.
#[test]
fn broken_call_ends_the_watches_and_the_complete_list_follows_soon() {
    let (mut bench, oldest) = Bench::watching();
    let (second, _) = bench.begin();
    let (third, _) = bench.begin();
    assert_eq!((second.hold, third.hold), (Some(HOLD), None));
    assert_eq!(bench.schedule.on_broken(second.id, bench.now), [oldest]);
    assert_eq!(bench.until_next(), INTERVAL);
    assert_eq!(bench.begin().0.hold, None);
}

/// Where no descriptor is left, the oldest call's is used, but not before an answer may have come to that.
#[test]
fn shortage_ends_the_oldest_call_once_it_is_late_by_half_the_grace_period() {
    let mut bench = Bench::new();
    let (oldest, _) = bench.begin();
    let begun = bench.now;
    loop {
        let (next, _) = bench.begin();
        let given_up = bench.schedule.on_shortage(next.id, bench.now);
        if given_up.is_empty() {
            assert_eq!(bench.until_next(), INTERVAL);
            continue;
        }
        assert_eq!(given_up, [oldest.id]);
        let after = bench.now - begun;
        assert!((GRACE / 2..GRACE * 3 / 4).contains(&after), "given up after {after:?}");
        assert_eq!(bench.until_next(), DESCRIPTOR_REUSE_DELAY);
        return;
    }
}

#[test]
fn shortage_without_another_call_is_tried_again_later() {
    let mut bench = Bench::new();
    let (only, _) = bench.begin();
    assert_eq!(bench.schedule.on_shortage(only.id, bench.now), []);
    assert_eq!(bench.until_next(), INTERVAL);
}

#[test]
fn list_that_is_too_long_is_not_fetched_again_soon() {
    let mut bench = Bench::new();
    let (first, _) = bench.begin();
    bench.schedule.on_too_long(first.id, bench.now);
    assert_eq!(bench.until_next(), TOO_LONG_DELAY);
    assert_eq!(bench.begin().0.hold, None);
}

/// Whatever the settings, some time is left between two calls, and there is a bound on their number.
#[test]
fn times_follow_the_grace_period_within_bounds() {
    for (grace_ms, hold_ms, interval_ms) in
        [(0, 20, 20), (8, 20, 20), (200, 40, 25), (1000, 200, 125), (60_000, 500, 500)]
    {
        let times = AgentTimes::within(Duration::from_millis(grace_ms));
        let expected = (Duration::from_millis(hold_ms), Duration::from_millis(interval_ms));
        assert_eq!((times.hold, times.interval), expected, "{grace_ms} ms");
    }
}

/// A long list may take longer than the grace period to arrive.
#[test]
fn call_whose_response_is_being_received_is_not_given_up() {
    let (mut bench, oldest) = Bench::watching();
    let (received, _) = bench.begin();
    for _ in 0..20 {
        bench.now = bench.now.max(bench.schedule.next_call_at());
        let (_, given_up) = bench.schedule.begin(bench.now, |id| id == received.id);
        assert!(!given_up.contains(&received.id) && !given_up.contains(&oldest), "{given_up:?}");
    }
}
