//! Tests of links and of the draws for their traffic.

use super::*;

const A: Node = Node::Sidecar(0);
const B: Node = Node::Sidecar(1);
const C: Node = Node::Server(0);

fn active(
    fault: usize,
    from: Node,
    to: Node,
    both_directions: bool,
    impairment: Impairment,
) -> ActiveFault {
    ActiveFault { fault, from: [from].into(), to: [to].into(), both_directions, impairment }
}

#[test]
fn faults_affect_only_their_links_and_are_cleared_by_number() {
    let cut = Impairment { cut: true, ..Impairment::default() };
    let lossy = Impairment { loss: 0.5, delay: Duration::from_millis(3), ..Impairment::default() };
    let mut links = Links::default();
    links.inject(active(1, A, B, false, cut));
    links.inject(active(2, B, A, true, lossy));
    links.inject(active(3, A, B, false, lossy));
    assert!(links.impairment(A, B).cut && !links.impairment(B, A).cut, "one direction");
    assert!(
        links.is_partitioned(A, B) && links.is_partitioned(B, A),
        "no connection over half a link"
    );
    assert!(!links.is_partitioned(A, C));
    assert_eq!(links.impairment(A, B).loss, 0.75, "two in series");
    assert_eq!(links.impairment(A, B).delay, Duration::from_millis(6));
    links.clear(1);
    links.clear(3);
    assert_eq!(links.impairment(A, B), lossy);
    links.clear(2);
    assert_eq!(links, Links::default());
}

#[test]
fn datagrams_are_impaired_at_their_shares_and_the_same_for_the_same_seed() {
    let impairment = Impairment {
        loss: 0.3,
        duplicate: 0.2,
        corrupt: 0.1,
        reorder: 0.25,
        ..Impairment::default()
    };
    let run = |seed| {
        let mut sampler = LinkSampler::new(seed, A, B);
        let one = |_| sampler.datagram(&impairment, Duration::ZERO, 100);
        (0..20_000).map(one).collect::<Vec<_>>()
    };
    let all = run(7);
    assert!(all == run(7) && all != run(8));
    let share = |is: &dyn Fn(&&Vec<Delivery>) -> bool| {
        all.iter().filter(is).count() as f64 / all.len() as f64
    };
    let near = |share: f64, wanted: f64| assert!((share - wanted).abs() < 0.02, "{share}");
    near(share(&|a| a.is_empty()), 0.3);
    near(share(&|a| a.len() == 2), 0.7 * 0.2);
    near(share(&|a| a.first().is_some_and(|a| a.corruption.is_some())), 0.7 * 0.1);
    near(share(&|a| a.first().is_some_and(|a| a.delay >= REORDER_DELAY)), 0.7 * 0.25);
    let cut = Impairment { cut: true, ..Impairment::default() };
    assert!(LinkSampler::new(7, A, B).datagram(&cut, Duration::ZERO, 9).is_empty());
}

#[test]
fn limited_link_keeps_to_its_rate() {
    let impairment = Impairment { rate: 10_000, ..Impairment::default() };
    let mut sampler = LinkSampler::new(1, A, B);
    let mut passed = 0;
    // 40 kB within a second: the link passes 10 kB, and half a second's worth queues.
    for n in 0..400 {
        let now = Duration::from_micros(2500 * n);
        passed += sampler.datagram(&impairment, now, 100).len() * 100;
    }
    assert!((14_000..=16_000).contains(&passed), "{passed}");
}
