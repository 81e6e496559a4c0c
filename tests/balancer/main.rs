//! Tests of the balancer through `Balancer::handle`: its mechanisms, and regressions.

mod admission;
mod chips;
#[path = "../common/mod.rs"]
mod common;
mod ejection;
mod endpoints;
mod response_progress;
mod retries;
mod selection;
mod slow_start;

use common::*;

#[test]
fn same_seed_and_events_give_same_actions() {
    let servers: Vec<_> = (0..5).map(server).collect();
    let run = |seed| {
        let mut b = BalancerHarness::new(settings(|_| {}), seed, &servers);
        (0..200).map(|i| b.exchange(i % 3, (i % 7) as f32)).collect::<Vec<_>>()
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}
