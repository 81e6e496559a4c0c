//! Tests of the drawn bodies.

use super::*;

#[test]
fn body_follows_from_its_request_direction_and_length() {
    let body = body_of(Direction::Response, "7", 5_000);
    assert_eq!(body, body_of(Direction::Response, "7", 5_000));
    assert!(is_body_of(Direction::Response, "7", &body));
    assert!(!is_body_of(Direction::Response, "8", &body));
    assert!(!is_body_of(Direction::Request, "7", &body));
    assert!(!is_body_of(Direction::Response, "7", &body[..4_999]));
}

#[test]
fn every_piece_is_drawn_and_stands_at_the_beginning_and_at_the_end() {
    let bodies: Vec<_> =
        (0..200).map(|n| body_of(Direction::Response, &n.to_string(), 3_000)).collect();
    for piece in PIECES {
        assert!(bodies.iter().any(|body| body.windows(piece.len()).any(|part| part == piece)));
        assert!(bodies.iter().any(|body| body.starts_with(piece)));
        assert!(bodies.iter().any(|body| body.ends_with(piece)));
    }
}

#[test]
fn short_body_holds_the_part_of_a_piece_that_fits() {
    assert_eq!(body_with(0, STATUS_LINE, 0, 1), b"");
    assert_eq!(body_with(4, STATUS_LINE, 0, 1), b"HTTP");
    assert!(body_with(10, STATUS_LINE, 8, 1).ends_with(b"HT"));
    assert_eq!(body_of(Direction::Request, "7", 1).len(), 1);
}
