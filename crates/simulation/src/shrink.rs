//! Reduces a failing scenario to the faults that are needed to break the same rule (delta debugging: Zeller and
//! Hildebrandt, IEEE TSE 2002), then shortens each fault and simplifies the world.

use crate::oracle::Rule;
use crate::run::run_scenario;
use crate::scenario::Scenario;

/// Faults of this duration or less, in milliseconds, are not shortened.
const SHORTEST_FAULT_MS: u64 = 100;

/// Runs a scenario and returns the rule that it breaks.
fn broken_rule(scenario: &Scenario) -> Option<Rule> {
    run_scenario(scenario, false).violation.map(|violation| violation.rule)
}

/// Returns a smaller scenario that breaks the same rule; `None` if this one breaks no rule. `on_progress` is called
/// with the number of faults that are left.
pub fn shrink(scenario: &Scenario, on_progress: impl FnMut(usize)) -> Option<Scenario> {
    let rule = broken_rule(scenario)?;
    let still_fails = |scenario: &Scenario| broken_rule(scenario) == Some(rule);
    let mut smallest = scenario.clone();
    remove_faults(&mut smallest, &still_fails, on_progress);
    shorten_faults(&mut smallest, &still_fails);
    simplify_world(&mut smallest, &still_fails);
    Some(smallest)
}

/// Removes groups of faults, from halves of them down to single ones.
fn remove_faults(
    smallest: &mut Scenario,
    still_fails: &impl Fn(&Scenario) -> bool,
    mut on_progress: impl FnMut(usize),
) {
    let mut groups = 2;
    while !smallest.faults.is_empty() {
        let count = smallest.faults.len();
        let size = count.div_ceil(groups);
        let smaller = (0..count).step_by(size).find_map(|from| {
            let mut candidate = smallest.clone();
            candidate.faults.drain(from..(from + size).min(count));
            still_fails(&candidate).then_some(candidate)
        });
        match smaller {
            Some(candidate) => {
                *smallest = candidate;
                groups = groups.saturating_sub(1).max(2);
                on_progress(smallest.faults.len());
            }
            None if size == 1 => break,
            None => groups = (groups * 2).min(count),
        }
    }
}

/// Halves the duration of each fault as long as the rule is still broken.
fn shorten_faults(smallest: &mut Scenario, still_fails: &impl Fn(&Scenario) -> bool) {
    for index in 0..smallest.faults.len() {
        while smallest.faults[index].for_ms > SHORTEST_FAULT_MS {
            let mut shorter = smallest.clone();
            shorter.faults[index].for_ms /= 2;
            if !still_fails(&shorter) {
                break;
            }
            *smallest = shorter;
        }
    }
}

/// Simplifies the world, one property at a time.
fn simplify_world(smallest: &mut Scenario, still_fails: &impl Fn(&Scenario) -> bool) {
    let simplifications: [fn(&mut Scenario); 5] = [
        |scenario| scenario.sidecars = 1,
        |scenario| scenario.servers_per_zone = 1,
        |scenario| scenario.shuffle = false,
        |scenario| scenario.timer_lag_us = 0,
        |scenario| scenario.discovery_polled = false,
    ];
    for simplify in simplifications {
        let mut simpler = smallest.clone();
        simplify(&mut simpler);
        if simpler != *smallest && still_fails(&simpler) {
            *smallest = simpler;
        }
    }
}
