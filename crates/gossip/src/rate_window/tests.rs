//! Tests of the sliding window.

use super::*;

#[test]
fn rate_covers_only_events_within_the_window() {
    let mut rates = RateWindow::new(2, 0);
    for n in 0..400 {
        rates.record(1, n * 5_000);
    }
    assert!((198.0..=202.0).contains(&rates.per_second(1)), "{}", rates.per_second(1));
    assert_eq!(rates.per_second(0), 0.0);
    rates.advance(2_750_000);
    assert!((90.0..=110.0).contains(&rates.per_second(1)), "{}", rates.per_second(1));
    rates.advance(90_000_000);
    assert_eq!(rates.per_second(1), 0.0);
    rates.record(7, 90_000_000);
}
