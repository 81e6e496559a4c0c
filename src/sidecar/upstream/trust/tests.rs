//! Which responses on used connections are accepted, and how long a server is distrusted.

use super::*;

const MS: Duration = Duration::from_millis(1);

fn body(text: &str) -> BodyFingerprint {
    BodyFingerprint::new(text.as_bytes())
}

/// A server whose fastest response took 8 ms, and a connection that has carried one to `first`.
fn used() -> (ServerTrust, RecentBodies) {
    let (trust, mut earlier) = (ServerTrust::default(), RecentBodies::default());
    trust.record_response(8 * MS);
    earlier.push(body("first"));
    (trust, earlier)
}

fn judge(
    trust: &ServerTrust,
    earlier_bodies: &RecentBodies,
    text: &str,
    delay: Duration,
) -> Result<(), Misplaced> {
    let response = LaterResponse { in_turn: true, delay, body: Some(body(text)), earlier_bodies };
    trust.judge(response).map_err(|suspect| suspect.reason)
}

#[test]
fn response_of_its_own_in_its_time_is_accepted() {
    let (trust, earlier) = used();
    assert_eq!(judge(&trust, &earlier, "second", 2 * MS), Ok(()));
}

#[test]
fn response_that_is_out_of_turn_too_soon_or_repeated_is_not_accepted() {
    let (trust, earlier) = used();
    let response = LaterResponse {
        in_turn: false,
        delay: 9 * MS,
        body: Some(body("x")),
        earlier_bodies: &earlier,
    };
    let found = trust.judge(response).map_err(|suspect| suspect.reason);
    assert_eq!(found, Err(Misplaced::OutOfTurn));
    assert_eq!(judge(&trust, &earlier, "second", MS), Err(Misplaced::TooSoon));
    assert_eq!(judge(&trust, &earlier, "first", 9 * MS), Err(Misplaced::RepeatedBody));
}

#[test]
fn body_counts_as_repeated_up_to_seven_responses_later() {
    let (trust, mut earlier) = used();
    (0..7).for_each(|n| earlier.push(body(&n.to_string())));
    assert_eq!(judge(&trust, &earlier, "first", 9 * MS), Err(Misplaced::RepeatedBody));
    earlier.push(body("eighth"));
    assert_eq!(judge(&trust, &earlier, "first", 9 * MS), Ok(()));
}

#[test]
fn acquitted_response_lowers_the_bound_or_may_be_repeated() {
    let (trust, mut earlier) = used();
    earlier.push(body("other"));
    let judged = |text: &str, delay| {
        let body = Some(body(text));
        trust.judge(LaterResponse { in_turn: true, delay, body, earlier_bodies: &earlier })
    };
    trust.acquit(judged("first", 9 * MS).expect_err("a repeated body"));
    assert_eq!(judged("first", 9 * MS), Ok(()));
    assert!(judged("other", 9 * MS).is_err(), "another body is still a sign");
    trust.acquit(judged("second", MS).expect_err("too soon"));
    assert_eq!(judged("third", MS), Ok(()));
}

#[test]
fn body_that_is_not_whole_yet_is_not_compared() {
    let (trust, earlier) = used();
    let response =
        LaterResponse { in_turn: true, delay: 9 * MS, body: None, earlier_bodies: &earlier };
    assert_eq!(trust.judge(response), Ok(()));
}

#[test]
fn distrust_lasts_longer_each_time_up_to_a_bound_and_is_forgotten() {
    let trust = ServerTrust::default();
    let mut now = Instant::now();
    let mut expected = FIRST_DISTRUST;
    for _ in 0..10 {
        assert_eq!(trust.record_stray(now), Some(expected));
        assert_eq!(trust.record_stray(now), None, "it lasts already");
        now += expected;
        expected = (2 * expected).min(LONGEST_DISTRUST);
    }
    assert_eq!(trust.record_stray(now + LONGEST_DISTRUST), Some(FIRST_DISTRUST));
}
