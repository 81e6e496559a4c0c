//! Tests of the deadlines for new requests to draining servers.

use super::*;

const GRACE: Duration = Duration::from_millis(500);
const PUSHED: DrainRule = DrainRule { pushed: true, grace: GRACE };
const POLLED: DrainRule = DrainRule { pushed: false, grace: GRACE };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn deadline_is_that_of_the_rule() {
    let start = Instant::now();
    let mut deadlines = DrainDeadlines::new(vec![PUSHED, POLLED], start);
    assert_eq!(deadlines.deadline(0, 3), None);
    let drains = start + ms(1000);
    deadlines.set_draining(3, true, drains);
    assert_eq!(deadlines.deadline(0, 3), Some(drains + ms(500 + 50 + 250)));
    assert_eq!(deadlines.deadline(1, 3), Some(drains + ms(6000 + 500 + 50 + 250)));
    assert_eq!(deadlines.deadline(0, 4), None);
    deadlines.set_draining(3, false, start + ms(2000));
    assert_eq!(deadlines.deadline(0, 3), None);
}

#[test]
fn change_counts_from_when_discovery_can_be_reached() {
    let start = Instant::now();
    let mut deadlines = DrainDeadlines::new(vec![PUSHED, PUSHED], start);
    deadlines.set_reachable(0, false, start + ms(100));
    deadlines.set_draining(3, true, start + ms(200));
    assert_eq!(deadlines.deadline(0, 3), None);
    assert_eq!(deadlines.deadline(1, 3), Some(start + ms(1000)));
    deadlines.set_reachable(0, true, start + ms(5000));
    // A repeated report that discovery is reachable does not restart the time.
    deadlines.set_reachable(0, true, start + ms(6000));
    assert_eq!(deadlines.deadline(0, 3), Some(start + ms(5800)));
}

#[test]
fn only_the_first_bytes_of_a_request_count_as_a_new_request() {
    let account = Arc::new(Account::new(Vec::new()));
    let watch = DrainWatch::new(account.clone());
    let start = Instant::now();
    *watch.deadlines() = DrainDeadlines::new(vec![PUSHED], start);
    watch.deadlines().set_draining(0, true, start);
    let request = b"POST /x HTTP/1.1\r\nx-correlation-id: abc\r\n\r\n";
    let with_body = b"POST /x HTTP/1.1\r\nx-correlation-id: ab\r\nContent-Length: 9\r\n\r\n";
    let (in_time, late) = (start + ms(800), start + ms(801));
    let (mut first, mut second) = (MessageFramer::default(), MessageFramer::default());
    watch.on_data(0, 0, &mut first, request, in_time);
    watch.on_data(0, 0, &mut first, with_body, in_time);
    watch.on_data(0, 0, &mut first, b"POST /ab", late);
    watch.on_data(0, 0, &mut first, b"G", late);
    watch.on_data(0, 1, &mut second, request, late);
    assert_eq!(account.report().sent_to_draining, 0);
    watch.on_data(0, 0, &mut first, request, late);
    // A single write may pass on less than the first line.
    watch.on_data(0, 0, &mut first, b"G", late);
    let report = account.report();
    assert_eq!(report.sent_to_draining, 2);
    assert!(report.examples[0].contains("abc, sent by s0 1 ms too late"), "{:?}", report.examples);
}
