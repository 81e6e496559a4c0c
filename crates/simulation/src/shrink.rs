//! A failing scenario is cut to the faults that matter (delta debugging: Zeller and Hildebrandt, IEEE
//! TSE 2002), then each is made shorter and the world smaller, as far as the same rule still breaks.

use crate::run::play;
use crate::scenario::Scenario;

/// The rule that a scenario breaks.
fn rule(scenario: &Scenario) -> Option<&'static str> {
    play(scenario, false).violation.map(|v| v.rule)
}

/// A scenario as small as it could be made that breaks the same rule; none if this breaks none. `tell`
/// is told how many faults are left.
pub fn shrink(scenario: &Scenario, mut tell: impl FnMut(usize)) -> Option<Scenario> {
    let broken = rule(scenario)?;
    let still = |s: &Scenario| rule(s) == Some(broken);
    let mut least = scenario.clone();
    let mut parts = 2;
    while !least.faults.is_empty() {
        let size = least.faults.len().div_ceil(parts);
        let smaller = (0..least.faults.len()).step_by(size).find_map(|from| {
            let mut without = least.clone();
            without.faults.drain(from..(from + size).min(least.faults.len()));
            still(&without).then_some(without)
        });
        match smaller {
            Some(without) => {
                least = without;
                parts = parts.saturating_sub(1).max(2);
                tell(least.faults.len());
            }
            None if size == 1 => break,
            None => parts = (parts * 2).min(least.faults.len()),
        }
    }
    for n in 0..least.faults.len() {
        while least.faults[n].for_ms > 100 {
            let mut shorter = least.clone();
            shorter.faults[n].for_ms /= 2;
            if !still(&shorter) {
                break;
            }
            least = shorter;
        }
    }
    let simpler: [fn(&mut Scenario); 5] = [
        |s| s.sidecars = 1,
        |s| s.servers = 1,
        |s| s.shuffle = false,
        |s| s.timer_lag_us = 0,
        |s| s.asked = false,
    ];
    for change in simpler {
        let mut changed = least.clone();
        change(&mut changed);
        if changed != least && still(&changed) {
            least = changed;
        }
    }
    Some(least)
}
