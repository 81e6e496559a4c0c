//! Measures a tier on a virtual clock: `tier_of SIZE TURN_MS SEEDS`. How right the counts are two seconds after
//! what is asked has doubled, what is spent of a quota when a third is cut off, how long healing takes, and bytes.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{S, World, off};

fn argument(n: usize, or: u64) -> u64 {
    std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(or)
}

fn main() {
    let (size, turn, seeds) = (argument(1, 300), argument(2, 100), argument(3, 3));
    println!("{size} members, a turn of {turn} ms, 10 % loss; mean of {seeds} seeds");
    let mut sums = [0.0; 12];
    for seed in 0..seeds {
        let (quota, each) = (2000.0, 3000.0);
        let mut w = World::new(size as u32, &[quota], turn * 1000, seed);
        w.loss = 0.1;
        // A few have most of the traffic.
        let weights: Vec<f64> = (0..size).map(|n| 1.0 / (1.0 + n as f64).powf(0.7)).collect();
        let whole: f64 = weights.iter().sum();
        let ask = |w: &mut World, all: f64| {
            for (asks, weight) in w.asks.iter_mut().zip(&weights) {
                asks[0] = all * weight / whole;
            }
        };
        ask(&mut w, each / 2.0);
        w.start_all();
        let mut began = None;
        for step in 1..200 {
            w.play(step * S / 4);
            let (most, _) = off(w.views().iter().map(|v| v.reach), size as f64);
            if most < 0.05 {
                began = Some(step as f64 / 4.0);
                break;
            }
        }
        w.play(w.now.max(20 * S));
        let bytes = w.bytes;
        let t = w.now;
        w.play(t + 10 * S);
        let bytes = (w.bytes - bytes) as f64 / 10.0 / size as f64;
        ask(&mut w, each);
        let t = w.now;
        w.play(t + 2 * S);
        let (most, rms) = off(w.views().iter().map(|v| v.clubs[0].asked), each);
        w.play(t + 4 * S);
        let (later, _) = off(w.views().iter().map(|v| v.clubs[0].asked), each);
        let (spent, t) = (w.spent[0], w.now);
        w.play(t + 20 * S);
        let full = (w.spent[0] - spent) as f64 / 20.0 / quota;
        // A third is cut off together.
        let f = size as usize / 3;
        w.group[..f].fill(1);
        let (spent, t) = (w.spent[0], w.now);
        w.play(t + 20 * S);
        let cut = (w.spent[0] - spent) as f64 / 20.0 / quota;
        let (reach, _) = off(w.views()[f..].iter().map(|v| v.reach), (size as usize - f) as f64);
        w.group.fill(0);
        let t = w.now;
        let mut healed = None;
        for step in 1..400 {
            w.play(t + step * S / 4);
            let (r, _) = off(w.views().iter().map(|v| v.reach), size as f64);
            let (a, _) = off(w.views().iter().map(|v| v.clubs[0].asked), each);
            if r < 0.1 && a < 0.15 {
                healed = Some(step as f64 / 4.0);
                break;
            }
        }
        // Once nothing is new any more one dies: when its neighbours, and when all, have it as gone.
        w.play(w.now + 60 * S);
        let t = w.now;
        w.kill(f);
        let gone = |w: &World, n: usize| {
            let members = w.members[n].as_ref().expect("there").members(u64::MAX);
            members[f].0.presence == gossip::Presence::Gone
        };
        let (mut first, mut all) = (None, None);
        for step in 1..1000 {
            w.play(t + step * S / 4);
            let alive = w.alive();
            let know = alive.iter().filter(|n| gone(&w, **n)).count();
            if know > 0 && first.is_none() {
                first = Some(step as f64 / 4.0);
            }
            if know == alive.len() {
                all = Some(step as f64 / 4.0);
                break;
            }
        }
        let never = f64::NAN;
        let got = [
            began.unwrap_or(never),
            bytes,
            most,
            rms,
            later,
            full,
            cut,
            reach,
            healed.unwrap_or(never),
            first.unwrap_or(never),
            all.unwrap_or(never),
            0.0,
        ];
        for (sum, got) in sums.iter_mut().zip(got) {
            *sum += got / seeds as f64;
        }
    }
    let names = [
        "s until 19 of 20 have the count within 5 % after all began at once",
        "bytes a second and member",
        "error of a total 2 s after it doubled, 19 of 20 within",
        "the same, the most",
        "19 of 20 within, 4 s after",
        "spent of the quota, 1.5 times asked",
        "the same while a third is cut off, over 20 s",
        "error of the majority's count then, 19 of 20 within",
        "s until 19 of 20 have count (10 %) and total (15 %) after healing",
        "s until the first has a dead one as gone",
        "s until all have",
    ];
    for (name, sum) in names.iter().zip(sums) {
        println!("{sum:10.3}  {name}");
    }
}
