//! Tests of the account of requests.

use super::*;

fn account() -> Account {
    let class = |name, idempotency| Class {
        name,
        idempotency,
        share: 1.0,
        service_time: Duration::from_millis(1),
        latency_objective: Duration::from_millis(100),
        deadline: Duration::from_millis(500),
    };
    Account::new(vec![
        class("look", Idempotency::Idempotent),
        class("order", Idempotency::NonIdempotent),
    ])
}

fn at() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

#[test]
fn request_ids_are_parsed_as_written() {
    let id = AttemptId { operation: 0xabc, number: 7 };
    assert_eq!(AttemptId::parse(&id.request_id()), Some(id));
    for bad in ["", "xyz", "00000000000000zz", "éééééééé"] {
        assert_eq!(AttemptId::parse(bad), None);
    }
}

#[test]
fn duplicate_executions_count_unless_idempotent() {
    let account = account();
    for class in [0, 1] {
        let operation = account.begin(class);
        for _ in 0..2 {
            let id = account.next_attempt(operation);
            account.record_server_event("s", &id.request_id(), ServerEvent::Received);
            account.record_server_event("s", &id.request_id(), ServerEvent::Executed);
            account.record_outcome(id, Outcome::Failed, at());
        }
    }
    let report = account.report();
    assert_eq!((report.duplicated_non_idempotent, report.duplicated_keyed), (1, 0));
    assert_eq!(report.violations(), 1, "{:?}", report.examples);
}

#[test]
fn each_violation_is_counted_and_a_kill_excuses_lost_requests_only() {
    let account = account();
    let record = |outcome| {
        let id = account.next_attempt(account.begin(1));
        account.record_server_event("s", &id.request_id(), ServerEvent::Executed);
        account.record_outcome(id, outcome, at());
    };
    record(Outcome::Lost);
    record(Outcome::TimedOut);
    record(Outcome::WrongBody);
    record(Outcome::Rejected);
    account.record_server_event("s", "no id of ours", ServerEvent::Received);
    account.expect_kill(at());
    record(Outcome::Lost);
    account.record_refused_connection();
    let r = account.report();
    assert_eq!((r.lost, r.lost_by_kill, r.timed_out, r.wrong_body), (1, 1, 1, 1));
    assert_eq!((r.rejected_but_executed, r.unknown, r.refused_connections), (1, 1, 1));
    assert_eq!(r.violations(), 5);
}

#[test]
fn latency_quantiles_have_three_digits() {
    let account = account();
    let mut exact: Vec<u64> = (0..5000).map(|n| 1 + n * n * 7 % 900_007).collect();
    for us in &exact {
        account.record_served(account.begin(0), Duration::from_micros(*us));
    }
    exact.sort_unstable();
    let of = &account.report().classes[0];
    for (q, ms) in [(0.5, of.p50_ms), (0.99, of.p99_ms), (1.0, of.max_ms)] {
        let at = (exact.len() as f64 * q).ceil() as usize - 1;
        let want = exact[at] as f64 / 1000.0;
        assert!((ms - want).abs() <= want / 1000.0, "{q}: {ms} ms, exactly {want} ms");
    }
    assert_eq!(account.report().classes[1].p99_ms, 0.0);
    assert_eq!((account.take_latencies()[0].served, account.take_latencies()[0].served), (5000, 0));
}

#[test]
fn attempts_long_after_their_client_has_left_count_once_on_any_link() {
    for transit_delays in [false, true] {
        let account = account();
        let id = account.next_attempt(account.begin(0));
        account.record_outcome(id, Outcome::Left, at());
        if transit_delays {
            account.expect_transit_delays();
        }
        let soon = Instant::now();
        account.record_departure("s", &id.request_id(), soon);
        assert_eq!(account.report().violations(), 0);
        std::thread::sleep(LEAVE_GRACE + Duration::from_millis(1));
        account.record_departure("s", &id.request_id(), Instant::now());
        account.record_server_event("s", &id.request_id(), ServerEvent::Received);
        assert_eq!(account.report().violations(), 1, "delays: {transit_delays}");
    }
}

#[test]
fn response_that_is_cut_off_while_its_server_gives_it_is_lost() {
    for (response, may_break, lost) in [
        (DrawnResponse::Begun, false, 0),
        (DrawnResponse::Refused, false, 1),
        (DrawnResponse::Given { ends_connection: false }, false, 1),
        (DrawnResponse::Given { ends_connection: true }, true, 0),
    ] {
        let account = account();
        if may_break {
            account.expect_broken_connections();
        }
        let id = account.next_attempt(account.begin(0));
        account.record_server_event("s", &id.request_id(), ServerEvent::Response(response));
        account.record_outcome(id, Outcome::Truncated, at());
        let report = account.report();
        assert_eq!((report.truncated, report.lost), (1, lost), "{response:?}");
    }
}

#[test]
fn half_of_the_responses_without_a_length_have_to_be_passed_on() {
    for (served, violations) in [(10, 0), (9, 11)] {
        let account = account();
        for number in 0..20 {
            let id = account.next_attempt(account.begin(0));
            let given = ServerEvent::Response(DrawnResponse::Given { ends_connection: true });
            account.record_server_event("s", &id.request_id(), given);
            if number < served {
                account.record_drawn_body(id);
            }
            // Others are served by a server whose response has a length.
            account.record_outcome(id, Outcome::Served, at());
        }
        assert_eq!(account.report().violations(), violations, "{served} served");
    }
}
