//! Tests of the drawn plans.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::contents::{Direction, body_of};

const LIMITS: PlanLimits = PlanLimits {
    max_bytes: 200_000,
    max_duration: Duration::from_millis(300),
    max_pause: Duration::from_millis(100),
};

fn plans() -> impl Iterator<Item = BodyPlan> {
    (0..300).map(|seed| BodyPlan::draw(&LIMITS, &mut SmallRng::seed_from_u64(seed)))
}

/// Decodes a chunked body with extensions and trailers.
fn decode_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let line = bytes.windows(2).position(|w| w == b"\r\n").expect("a line");
        let size = std::str::from_utf8(&bytes[..line]).expect("text").split(';').next();
        let size = usize::from_str_radix(size.expect("a size"), 16).expect("a number");
        bytes = &bytes[line + 2..];
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}

#[test]
fn steps_give_the_head_and_the_whole_body_within_the_time() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    for plan in plans() {
        let body = body_of(Direction::Response, "1", plan.length);
        let steps = plan.steps(head, &body);
        let time: Duration = steps.iter().map(|step| step.pause).sum();
        assert!(time <= LIMITS.max_duration, "{plan}: {time:?}");
        let bytes: Vec<u8> = steps.into_iter().flat_map(|step| step.bytes).collect();
        let rest = bytes.strip_prefix(head.as_bytes()).expect("the head");
        let given = match plan.framing {
            Framing::Chunked { .. } => decode_chunks(rest),
            Framing::Length | Framing::Connection => rest.to_vec(),
        };
        assert!(given == body, "{plan}");
    }
}

#[test]
fn every_framing_pace_and_boundary_is_drawn() {
    let drawn = |is: fn(&BodyPlan) -> bool| assert!(plans().any(|plan| is(&plan)));
    drawn(|plan| plan.framing == Framing::Length);
    drawn(|plan| matches!(plan.framing, Framing::Chunked { size: 1, .. }));
    drawn(|plan| matches!(plan.framing, Framing::Chunked { extended: true, .. }));
    drawn(BodyPlan::ends_connection);
    drawn(|plan| plan.pace == Pace::AtOnce);
    drawn(|plan| matches!(plan.pace, Pace::Steady { .. }));
    drawn(|plan| matches!(plan.pace, Pace::Pause { .. }));
    for boundary in BOUNDARIES {
        assert!(plans().any(|plan| plan.length == boundary), "{boundary}");
    }
}
