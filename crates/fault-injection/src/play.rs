//! Plays a plan on its ground, and tells how it goes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fakes::account::Report;
use serde::Serialize;

use crate::expectations::{Sample, Verdict};
use crate::ground::{Ground, Look, Programs};
use crate::scenario::{Act, Scenario};

/// Between two looks.
const EVERY: Duration = Duration::from_millis(500);

/// What is told while a trial is played.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told<'a> {
    /// It begins: the plan.
    Begins {
        /// The trial's name.
        name: &'a str,
        /// What was drawn, was drawn from this.
        seed: u64,
        /// How long it is, in seconds.
        seconds: f64,
        /// Sidecars.
        sidecars: u16,
        /// What happens when.
        acts: &'a [Act],
    },
    /// Something happens.
    Act(&'a Act),
    /// How everything stands.
    Look(&'a Sample),
    /// What came of what must hold.
    Ends(&'a Outcome),
}

/// What came of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Everything held, no rule was broken, no process crashed.
    pub held: bool,
    /// One by one.
    pub verdicts: Vec<Verdict>,
    /// The account, closed.
    pub account: Report,
    /// Crashes, in words.
    pub troubles: Vec<String>,
    /// All looks.
    #[serde(skip)]
    pub looks: Vec<Sample>,
}

/// Plays a plan to its end.
///
/// # Errors
///
/// What could not be done; a trial that did not hold is no error.
pub fn play(
    scenario: &Scenario,
    programs: Programs,
    mut tell: impl FnMut(&Told<'_>),
) -> Result<Outcome, String> {
    tell(&Told::Begins {
        name: &scenario.name,
        seed: scenario.seed,
        seconds: scenario.length.as_secs_f64(),
        sidecars: scenario.sidecars,
        acts: &scenario.acts,
    });
    let mut ground = Ground::start(scenario.clone(), programs)?;
    let offset = ground.network.elapsed();
    let began = Instant::now();
    ground.drive();
    let mut looks: Vec<Sample> = Vec::new();
    let mut waiting: VecDeque<Look> = VecDeque::new();
    let mut keep = |look: Look, tell: &mut dyn FnMut(&Told<'_>)| {
        let mut look = look.whole();
        look.at_s -= offset.as_secs_f64();
        tell(&Told::Look(&look));
        looks.push(look);
    };
    let mut acts = scenario.acts.iter().peekable();
    let mut next_look = Duration::ZERO;
    loop {
        let due = acts.peek().map(|a| Duration::from_secs_f64(a.at_s));
        let next = due.map_or(next_look, |due| due.min(next_look));
        std::thread::sleep(next.saturating_sub(began.elapsed()));
        // What happens comes before the look of the same time.
        if let Some(act) = acts.next_if(|_| due.is_some_and(|due| due <= next_look)) {
            tell(&Told::Act(act));
            ground.carry_out(act.fault, &act.action)?;
            continue;
        }
        waiting.push_back(ground.look());
        while waiting.front().is_some_and(Look::is_whole) {
            waiting.pop_front().into_iter().for_each(|look| keep(look, &mut tell));
        }
        if next_look >= scenario.length {
            break;
        }
        next_look = (next_look + EVERY).min(scenario.length);
    }
    waiting.into_iter().for_each(|look| keep(look, &mut tell));
    let account = ground.finish();
    let verdicts: Vec<Verdict> = scenario.expectations.iter().map(|h| h.judge(&looks)).collect();
    let troubles = ground.troubles().to_vec();
    let sound = account.broken() == 0 && account.served() > 0 && troubles.is_empty();
    let held = sound && verdicts.iter().all(|v| v.held);
    let outcome = Outcome { held, verdicts, account, troubles, looks };
    tell(&Told::Ends(&outcome));
    Ok(outcome)
}
