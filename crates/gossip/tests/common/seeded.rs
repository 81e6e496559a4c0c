//! One seeded play: a tier that is whole, broken in a way that is drawn, and whole again.

#![allow(dead_code, reason = "each user needs a part of it")]

use rand_core::RngCore;

use crate::common::{S, World, off};

/// S and B of the invariant, in seconds, as the design note has them, and what estimates may be wrong by.
const SILENT: f64 = 4.0;
const ESTIMATES: f64 = 1.1;

/// What one seed came to.
pub struct Played {
    pub broken: Vec<String>,
    /// Spent of the bound on the quota, and repeated of the bound on repeats.
    pub spent: f64,
    pub repeated: f64,
    /// Members of members' tables that were gone though nothing had ever been wrong with them.
    pub falsely: usize,
    /// Bytes a second and member while nothing was wrong.
    pub bytes: f64,
    /// Seconds after healing until 19 of 20 have the count within a tenth.
    pub healed: f64,
    /// A hash of all notes as they were sent, with their times on the virtual clock, and of the last views.
    pub hash: u64,
}

/// Plays one seed; the size is drawn unless it is given.
pub fn play(seed: u64, size: Option<u32>) -> Played {
    let mut w = World::new(2, &[1.0], 100_000, seed);
    let drawn = (8.0 * 125.0_f64.powf(w.draw())).round() as u32;
    let size = size.unwrap_or(drawn);
    let n = size as usize;
    // A few have most of the traffic; what is asked is up to five times the quota.
    let quota = f64::from(size) * (1.0 + 3.0 * w.draw());
    let asked = quota * (0.5 + 4.5 * w.draw());
    let power = w.draw();
    w = World::new(size, &[quota], 100_000, seed ^ 0x5eed);
    let weights: Vec<f64> = (1..=n).map(|n| (n as f64).powf(-power)).collect();
    let whole: f64 = weights.iter().sum();
    for (asks, weight) in w.asks.iter_mut().zip(&weights) {
        asks[0] = asked * weight / whole;
    }
    w.loss = 0.2 * w.draw();
    w.twice = 0.2 * w.draw();
    for at in 0..n {
        w.ahead[at] = ((w.draw() - 0.5) * 120_000.0) as i64;
    }
    let storm = w.draw();
    w.breaks.fill(if storm < 0.5 { storm } else { 0.0 });
    w.start_all();
    w.play(8 * S);
    let falsely = w.views().iter().map(|v| v.members.1).sum();
    let bytes = w.bytes as f64 / 8.0 / f64::from(size);
    let (spent, repeated, was) = (w.spent[0], w.repeated.iter().sum::<u64>(), w.asked[0]);
    // What is broken, in one of four ways, for a share of all.
    let share = 0.05 + 0.45 * w.draw();
    let some: Vec<usize> = (0..n).filter(|_| w.draw() < share).collect();
    let how = w.rng.next_u64() % 4;
    for at in &some {
        match how {
            0 => w.group[*at] = 1,
            1 => w.deaf[*at] = true,
            2 => w.mute[*at] = true,
            _ => w.kill(*at),
        }
    }
    for quarter in 0..32 {
        let (from, to) = (w.rng.next_u64() as usize % n, w.rng.next_u64() as usize % n);
        let garbage = (0..w.rng.next_u64() % 256).map(|_| w.rng.next_u64() as u8).collect();
        w.forge(from, to, garbage);
        w.play(8 * S + (quarter + 1) * S / 4);
    }
    w.group.fill(0);
    w.deaf.fill(false);
    w.mute.fill(false);
    if how == 3 {
        some.iter().for_each(|at| w.start(*at));
    }
    let mut healed = f64::NAN;
    let quarters = 40 + u64::from(size) / 25;
    for quarter in 1..=quarters {
        w.play(16 * S + quarter * S / 4);
        let (reach, _) = off(w.views().iter().map(|v| v.reach), f64::from(size));
        if reach < 0.1 && healed.is_nan() {
            healed = quarter as f64 / 4.0;
        }
    }
    let f = some.len() as f64 / f64::from(size);
    let depth = 0.5_f64.max(3.0 * f64::from(size) / quota);
    // Who begins anew has a full bucket.
    let anew = if how == 3 { f * depth } else { 0.0 };
    let bound =
        quota * ((8.0 + quarters as f64 / 4.0) * ESTIMATES + 8.0 * f + 2.0 * SILENT + depth + anew);
    let spent = (w.spent[0] - spent) as f64 / bound;
    let requests = (w.asked[0] - was) as f64;
    let saved = f64::from(size) + 0.5 * 0.1 * asked;
    let repeated = (w.repeated.iter().sum::<u64>() - repeated) as f64;
    let repeated = repeated / (0.11 * ESTIMATES * requests + 2.0 * saved);
    let mut broken = Vec::new();
    let mut holds = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    holds(spent <= 1.0, format!("{spent:.3} of the bound on the quota were spent"));
    holds(repeated <= 1.0, format!("{repeated:.3} of the bound on repeats"));
    holds(healed <= 10.0, "the count is not right 10 s after healing".to_owned());
    let views = w.views();
    let known = views.iter().map(|v| v.members.0 as f64 / n as f64).sum::<f64>() / n as f64;
    holds(known >= 0.95, format!("{known:.3} of {n} members are in tables as there"));
    let hash = w.hash(&views);
    Played { broken, spent, repeated, falsely, bytes, healed, hash }
}
