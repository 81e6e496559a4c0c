//! Tests of desync detection and of the duration of quarantines.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn body(text: &str) -> BodyFingerprint {
    BodyFingerprint::new(text.as_bytes())
}

/// A complete body behind which the connection stays open.
fn received(text: &str) -> ReceivedBody {
    ReceivedBody {
        fingerprint: Some(body(text)),
        min_length: text.len() as u64,
        ends_connection: false,
    }
}

/// The history of a server whose fastest response took 8 ms, and the bodies of a connection that has carried `first`.
fn reused_connection() -> (ResponseHistory, RecentBodies) {
    let (history, mut earlier) = (ResponseHistory::default(), RecentBodies::default());
    history.record_response(8 * MS);
    earlier.push(body("first"));
    (history, earlier)
}

fn check_response(
    history: &ResponseHistory,
    earlier_bodies: &RecentBodies,
    text: &str,
    delay: Duration,
) -> Result<(), DesyncSign> {
    let response = LaterResponse { in_turn: true, delay, body: received(text), earlier_bodies };
    history.check_response(response).map_err(|suspected| suspected.sign)
}

#[test]
fn new_body_after_a_plausible_delay_is_accepted() {
    let (history, earlier) = reused_connection();
    assert_eq!(check_response(&history, &earlier, "second", 2 * MS), Ok(()));
}

#[test]
fn response_that_is_out_of_turn_too_soon_or_repeated_is_not_accepted() {
    let (history, earlier) = reused_connection();
    let response = LaterResponse {
        in_turn: false,
        delay: 9 * MS,
        body: received("x"),

        earlier_bodies: &earlier,
    };
    let found = history.check_response(response).map_err(|suspected| suspected.sign);
    assert_eq!(found, Err(DesyncSign::OutOfTurn));
    assert_eq!(check_response(&history, &earlier, "second", MS), Err(DesyncSign::TooSoon));
    assert_eq!(check_response(&history, &earlier, "first", 9 * MS), Err(DesyncSign::RepeatedBody));
}

#[test]
fn bodies_are_remembered_for_the_lifetime_of_a_connection() {
    let (history, mut earlier) = reused_connection();
    (2..MAX_REQUESTS).for_each(|n| earlier.push(body(&n.to_string())));
    assert_eq!(check_response(&history, &earlier, "first", 9 * MS), Err(DesyncSign::RepeatedBody));
    assert_eq!(
        earlier.bodies.len(),
        MAX_BODIES - 1,
        "the body of the last response is the one that is checked"
    );
    (0..2 * MAX_BODIES).for_each(|n| earlier.push(body(&n.to_string())));
    assert_eq!(earlier.bodies.len(), MAX_BODIES, "the oldest bodies are dropped");
}

#[test]
fn false_alarm_lowers_the_delay_limit_or_allows_the_body_again() {
    let (history, mut earlier) = reused_connection();
    earlier.push(body("other"));
    let checked = |text: &str, delay| {
        let body = received(text);
        history.check_response(LaterResponse {
            in_turn: true,
            delay,
            body,

            earlier_bodies: &earlier,
        })
    };
    history.record_false_alarm(checked("first", 9 * MS).expect_err("a repeated body"));
    assert_eq!(checked("first", 9 * MS), Ok(()));
    assert!(
        checked("other", 9 * MS).is_err(),
        "a false alarm about one body does not allow another"
    );
    history.record_false_alarm(checked("second", MS).expect_err("too soon"));
    assert_eq!(checked("third", MS), Ok(()));
}

#[test]
fn response_that_cannot_be_checked_and_can_be_no_copy_is_accepted_if_it_is_in_turn() {
    let history = ResponseHistory::default();
    history.record_response(8 * MS);
    let mut earlier = RecentBodies::default();
    earlier.record(received("first"));
    let check = |in_turn, body| {
        let response = LaterResponse { in_turn, delay: MS, body, earlier_bodies: &earlier };
        history.check_response(response).map_err(|suspected| suspected.sign)
    };
    let last = ReceivedBody { ends_connection: true, ..received("first") };
    let longer = ReceivedBody { min_length: 6, ..ReceivedBody::default() };
    let as_long = ReceivedBody { min_length: 5, ..ReceivedBody::default() };
    for accepted in [last, longer] {
        assert_eq!(check(true, accepted), Ok(()));
        assert_eq!(check(false, accepted), Err(DesyncSign::OutOfTurn));
    }
    for suspected in [as_long, received("first"), received("a longer one")] {
        assert_eq!(check(true, suspected), Err(DesyncSign::TooSoon));
    }
}

#[test]
fn incomplete_body_is_not_compared() {
    let (history, earlier) = reused_connection();
    let response = LaterResponse {
        in_turn: true,
        delay: 9 * MS,
        body: ReceivedBody::default(),

        earlier_bodies: &earlier,
    };
    assert_eq!(history.check_response(response), Ok(()));
}

#[test]
fn quarantine_doubles_up_to_a_limit_and_is_reset_after_a_quiet_time() {
    let history = ResponseHistory::default();
    let mut now = Instant::now();
    let mut expected = INITIAL_QUARANTINE;
    for _ in 0..10 {
        assert_eq!(history.record_unexpected_bytes(now), Some(expected));
        assert_eq!(
            history.record_unexpected_bytes(now),
            None,
            "the quarantine is already in force"
        );
        now += expected;
        expected = (2 * expected).min(MAX_QUARANTINE);
    }
    assert_eq!(history.record_unexpected_bytes(now + MAX_QUARANTINE), Some(INITIAL_QUARANTINE));
}
