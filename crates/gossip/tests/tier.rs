//! Tiers on a virtual clock, and what goes wrong in them.

mod common;

use common::{S, World, off};
use gossip::{Carries, Note, Presence};

const TURN: u64 = 100_000;
const QUOTA: f64 = 600.0;
/// S and B of the invariant, in seconds, as the design note has them.
const SILENT: f64 = 4.0;

/// A tier in which some ask much more than others, so many times the quota in all.
fn tier(size: u32, times: f64, seed: u64) -> World {
    let mut w = World::new(size, &[QUOTA], TURN, seed);
    ask(&mut w, times);
    w.start_all();
    w
}

fn ask(w: &mut World, times: f64) {
    let whole: f64 = (1..=w.asks.len()).map(|n| 1.0 / n as f64).sum();
    for (n, asks) in w.asks.iter_mut().enumerate() {
        asks[0] = times * QUOTA / (n + 1) as f64 / whole;
    }
}

/// What is spent in so many seconds, in quotas.
fn spent(w: &mut World, seconds: u64) -> f64 {
    let before = w.spent[0];
    w.play(w.now + seconds * S);
    (w.spent[0] - before) as f64 / QUOTA
}

/// What buckets may give at once, in quotas.
fn depth(w: &World) -> f64 {
    (0.5_f64).max(3.0 * w.members.len() as f64 / QUOTA)
}

fn counts_are_right(w: &mut World, truth: f64, asked: f64) {
    let (reach, _) = off(w.views().iter().map(|v| v.reach), truth);
    let (total, _) = off(w.views().iter().map(|v| v.clubs[0].asked), asked);
    assert!(reach < 0.1 && total < 0.25, "{reach} {total}");
}

#[test]
fn all_know_how_many_they_are_and_what_is_asked_and_spend_the_quota() {
    for seed in 0..3 {
        let mut w = tier(40, 2.0, seed);
        w.loss = 0.1;
        w.play(10 * S);
        counts_are_right(&mut w, 40.0, 2.0 * QUOTA);
        let all = spent(&mut w, 10) / 10.0;
        assert!((0.85..1.1).contains(&all), "{all}");
        ask(&mut w, 0.8);
        w.play(w.now + 5 * S);
        let (was, before) = (w.asked[0], w.spent[0]);
        w.play(w.now + 10 * S);
        let share = (w.spent[0] - before) as f64 / (w.asked[0] - was) as f64;
        assert!(share > 0.93, "a club below its quota is hardly turned away for it: {share}");
    }
}

#[test]
fn the_same_seed_is_the_same_to_the_byte() {
    let play = |seed| {
        let mut w = tier(20, 2.0, seed);
        (w.loss, w.twice) = (0.2, 0.1);
        w.play(8 * S);
        (w.bytes, w.spent.clone(), format!("{:?}", w.views()))
    };
    assert_eq!(play(4), play(4));
    assert_ne!(play(4), play(5));
}

#[test]
fn halves_together_spend_no_more_than_the_quota_and_know_all_again_once_healed() {
    for (seed, cut) in [(1, 20), (2, 13), (3, 30)] {
        let mut w = tier(40, 5.0, seed);
        w.play(10 * S);
        w.group[..cut].fill(1);
        let f = cut.min(40 - cut) as f64 / 40.0;
        // The invariant over the whole of the cut, and beyond what was held at its beginning.
        let all = spent(&mut w, 20);
        let bound = 20.0 * (1.0 + f) + SILENT + depth(&w);
        assert!(all <= bound * 1.05, "{all} of {bound}");
        let later = spent(&mut w, 10) / 10.0;
        let most = if cut == 20 { 1.0 } else { 1.0 + f };
        assert!(later <= most * 1.1, "{later} of {most}");
        // The larger side knows how many it is; of the smaller some are cut off from one another as well, and
        // nobody believes in more than there are.
        let sides = [(0..cut, cut), (cut..40, 40 - cut)];
        for (side, truth) in sides {
            let seen: Vec<f64> = side.map(|n| w.view(n).reach / truth as f64).collect();
            assert!(seen.iter().all(|r| *r < 1.25), "{seen:?}");
            assert!(truth <= 20 || seen.iter().all(|r| *r > 0.8), "{seen:?}");
        }
        w.group.fill(0);
        w.play(w.now + 6 * S);
        counts_are_right(&mut w, 40.0, 5.0 * QUOTA);
        let healed = spent(&mut w, 10) / 10.0;
        assert!((0.85..1.1).contains(&healed), "{healed}");
    }
}

#[test]
fn the_deaf_and_the_mute_have_their_part_and_the_others_go_on_without_them() {
    for deaf in [true, false] {
        let mut w = tier(40, 5.0, 6);
        w.play(10 * S);
        for n in (0..40).step_by(4) {
            (w.deaf[n], w.mute[n]) = (deaf, !deaf);
        }
        let all = spent(&mut w, 20);
        let bound = 20.0 * 1.25 + SILENT + depth(&w);
        assert!(all <= bound * 1.05, "{all} of {bound}");
        for n in [0, 4, 8] {
            let view = w.view(n);
            assert_eq!((view.links.0, view.reach), (0, 1.0), "{n}");
            assert_eq!(view.clubs[0].lease, QUOTA / 40.0);
        }
        let there = w.view(1).members;
        assert_eq!(there, if deaf { (40, 0) } else { (30, 10) }, "who speaks is there");
        let (reach, _) = off([1, 2, 3, 5, 6].map(|n| w.view(n).reach).into_iter(), 30.0);
        assert!(reach < 0.15, "{reach}");
        (w.deaf, w.mute) = (vec![false; 40], vec![false; 40]);
        w.play(w.now + 6 * S);
        counts_are_right(&mut w, 40.0, 5.0 * QUOTA);
    }
}

#[test]
fn links_come_up_all_of_them_and_who_is_left_is_not_disturbed_by_the_dead() {
    let mut w = World::new(12, &[24.0], TURN, 1);
    w.start_all();
    w.play(9 * S);
    assert!(w.views().iter().all(|v| v.links == (11, 11)));
    for n in [2, 5, 8, 11] {
        w.kill(n);
    }
    // Their silence takes no turns from the others.
    for quarter in 0..40 {
        w.play(9 * S + quarter * S / 4);
        let reach: Vec<f64> = w.views().iter().map(|v| v.reach).collect();
        assert!(reach.iter().all(|r| *r > 7.5), "after {quarter} quarters of a second: {reach:?}");
    }
    assert!(w.views().iter().all(|v| v.links == (7, 11) && v.reach < 8.5));
}

#[test]
fn most_die_at_once_and_come_back_with_other_clocks() {
    let mut w = tier(40, 2.0, 7);
    w.play(10 * S);
    for n in 0..28 {
        w.kill(n);
    }
    w.play(w.now + 12 * S);
    let (reach, _) = off((28..37).map(|n| w.view(n).reach), 11.0);
    assert!(reach < 0.25, "{reach}");
    let gone = w.members[35].as_ref().expect("there").members(0);
    assert!((0..28).all(|n| gone[n].0.presence == Presence::Gone), "all have them as gone");
    // 37 lives alone among the dead.
    assert!((28..40).all(|n| (gone[n].0.presence == Presence::Alive) == (n != 37)));
    assert_eq!(w.view(37).members, (1, 39), "it hears nobody");
    for n in 0..28 {
        // Ahead and behind, by up to a minute: some are older now than they were before.
        w.ahead[n] = (n as i64 - 14) * 4300;
        w.start(n);
    }
    w.play(w.now + 15 * S);
    counts_are_right(&mut w, 40.0, 2.0 * QUOTA);
    for n in [0, 1, 20, 39] {
        let all = w.members[n].as_ref().expect("there").members(0);
        assert!(all.iter().all(|(r, _)| r.presence == Presence::Alive), "{n}: {all:?}");
    }
}

#[test]
fn losses_and_doubles_cost_little() {
    let mut w = tier(40, 2.0, 8);
    (w.loss, w.twice) = (0.3, 0.2);
    w.play(15 * S);
    counts_are_right(&mut w, 40.0, 2.0 * QUOTA);
    let all = spent(&mut w, 10) / 10.0;
    assert!((0.8..1.15).contains(&all), "{all}");
    let down: usize = w.views().iter().map(|v| v.links.1 - v.links.0).sum();
    assert!(down <= 16, "{down} of 320 ends are down for nothing");
    assert!(w.views().iter().all(|v| v.members == (40, 0)), "nobody is gone for nothing");
}

#[test]
fn turns_that_are_shorter_than_a_note_takes_do_not_make_the_sums_swing() {
    let mut w = World::new(40, &[QUOTA], 4_000, 13);
    ask(&mut w, 2.0);
    w.start_all();
    w.play(8 * S);
    let mut worst: f64 = 0.0;
    for step in 0..20 {
        w.play(8 * S + step * S / 5);
        worst = worst.max(off(w.views().iter().map(|v| v.clubs[0].asked), 2.0 * QUOTA).0);
    }
    assert!(worst < 0.4, "{worst}");
}

#[test]
fn nothing_drifts_over_an_hour() {
    let mut w = World::new(12, &[100.0], 500_000, 9);
    w.asks.iter_mut().for_each(|a| a[0] = 10.0);
    w.loss = 0.1;
    w.start_all();
    let mut last = 0.0;
    for minute in 1..=60 {
        w.play(minute * 60 * S);
        let mean: f64 = w.views().iter().map(|v| v.clubs[0].asked).sum::<f64>() / 12.0;
        assert!((85.0..140.0).contains(&mean), "{mean} after {minute} minutes");
        last = mean;
    }
    w.asks.iter_mut().for_each(|a| a[0] = 0.0);
    w.play(w.now + 20 * S);
    let (rest, _) = off(w.views().iter().map(|v| 1.0 + v.clubs[0].asked), 1.0);
    assert!(rest < 2.0 && last > 0.0, "what was asked fades: {rest}");
}

#[test]
fn garbage_replays_and_a_liar_change_little_and_nothing_panics() {
    let mut w = tier(40, 0.5, 10);
    w.play(10 * S);
    for round in 0..200_u64 {
        for to in 0..40 {
            let from = (to * 7 + round as usize) % 40;
            let mut data = vec![0; (w.draw() * 256.0) as usize];
            data.iter_mut().for_each(|b| *b = (w.draw() * 256.0) as u8);
            if round % 2 == 0 && !data.is_empty() {
                data[0] = 0xb7;
            }
            w.forge(from, to, data);
            // A note that is whole, from an earlier life, or from the far future, and counts wrong.
            let incarnation = [1, u32::MAX - 1][(round % 2) as usize];
            let note = Note {
                incarnation,
                to: 1,
                number: 1,
                echo: u32::MAX,
                version: 9,
                shape: 7,
                carries: Carries::Flow,
                values: vec![f32::NAN, 1e30, -1e30, 1e9, 0.0, 1e9],
                records: Vec::new(),
            };
            w.forge(from, to, note.bytes());
        }
        w.play(w.now + S / 100);
    }
    w.play(w.now + 5 * S);
    counts_are_right(&mut w, 40.0, 0.5 * QUOTA);
    assert!(w.views().iter().all(|v| v.notes[2] + v.notes[3] > 100), "they were seen");
    // One asks a million times as much as it can: nobody is turned away that its own part would serve.
    w.asks[39][0] = 0.0;
    for n in 0..200_000 {
        let clock = 60 * S + w.now + n / 2;
        w.members[39].as_mut().expect("there").asked(0, 0, clock);
    }
    w.play(w.now + 4 * S);
    assert!(w.views().iter().take(39).all(|v| v.clubs[0].lease >= 0.05 * QUOTA / 40.0));
    w.play(w.now + 10 * S);
    counts_are_right(&mut w, 40.0, 0.5 * QUOTA);
}

#[test]
fn who_wakes_has_its_part_at_once_and_the_rest_soon() {
    let mut w = World::new(40, &[QUOTA], TURN, 11);
    w.start_all();
    w.play(10 * S);
    w.asks[17][0] = 0.8 * QUOTA;
    let began = w.now;
    let first = spent(&mut w, 3);
    // Until the others know of it, it has its equal part at the least.
    assert!(first >= 3.0 / 40.0, "{first}");
    w.play(began + 8 * S);
    let later = spent(&mut w, 5) / 5.0;
    assert!(later > 0.7, "what the others leave flows to it: {later}");
    // Another takes its turn, within a stated time.
    (w.asks[17][0], w.asks[3][0]) = (0.0, 0.8 * QUOTA);
    w.play(w.now + 8 * S);
    let other = spent(&mut w, 5) / 5.0;
    assert!(other > 0.7, "{other}");
}

#[test]
fn quotas_that_differ_for_a_while_and_other_clubs_do_no_harm() {
    let mut w = tier(40, 3.0, 12);
    w.play(10 * S);
    for n in 0..20 {
        let clock = 60 * S + w.now;
        w.members[n].as_mut().expect("there").reconfigure((7, vec![2.0 * QUOTA]), clock);
    }
    w.play(w.now + 3 * S);
    let all = spent(&mut w, 10) / 10.0;
    assert!((0.9..2.2).contains(&all), "between the old and the new: {all}");
    counts_are_right(&mut w, 40.0, 3.0 * QUOTA);
    // Clubs of other names are not added to these.
    for n in 20..40 {
        let clock = 60 * S + w.now;
        w.members[n].as_mut().expect("there").reconfigure((8, vec![1.0, 2.0]), clock);
    }
    w.play(w.now + 10 * S);
    let views = w.views();
    assert!(
        views[..20].iter().all(|v| v.reach < 25.0 && v.clubs.len() == 1),
        "they share with their like"
    );
    assert!(views[20..].iter().all(|v| v.clubs.len() == 2 && v.clubs[1].asked < 1.0));
    assert!(views.iter().all(|v| v.members == (40, 0)), "but all are there");
}

/// What broke and was repeated within so many seconds, by member.
fn repeats(w: &mut World, seconds: u64) -> (Vec<f64>, Vec<f64>) {
    let (broke, repeated) = (w.broke.clone(), w.repeated.clone());
    w.play(w.now + seconds * S);
    let grown = |now: &[u64], was: &[u64]| -> Vec<f64> {
        now.iter().zip(was).map(|(now, was)| (now - was) as f64).collect()
    };
    (grown(&w.broke, &broke), grown(&w.repeated, &repeated))
}

#[test]
fn the_budget_of_repeats_goes_to_who_needs_it_and_is_one_for_all_in_a_storm() {
    let mut w = tier(40, 2.0, 8);
    w.loss = 0.1;
    w.play(8 * S);
    // One of the quieter ones reaches nobody with half of its attempts: the others need nothing.
    w.breaks[10] = 0.5;
    w.play(w.now + 3 * S);
    let (broke, repeated) = repeats(&mut w, 10);
    assert!(repeated[10] > 0.9 * broke[10], "{} of {}", repeated[10], broke[10]);
    // Deaf, it has a tenth of its own requests.
    w.deaf[10] = true;
    w.play(w.now + 6 * S);
    let (broke, repeated) = repeats(&mut w, 10);
    assert!(repeated[10] < 0.3 * broke[10], "{} of {}", repeated[10], broke[10]);
    w.deaf[10] = false;
    // A storm: half of everything breaks, first with the tier whole, then in halves, then with a quarter deaf.
    w.breaks.fill(0.5);
    w.play(w.now + 6 * S);
    for cut in 0..3 {
        match cut {
            1 => w.group[..20].fill(1),
            2 => {
                w.group.fill(0);
                w.deaf[..10].fill(true);
            }
            _ => {}
        }
        let asked = w.asked[0];
        let (broke, repeated) = repeats(&mut w, 15);
        let asked = (w.asked[0] - asked) as f64;
        let (broke, all) = (broke.iter().sum::<f64>(), repeated.iter().sum::<f64>());
        assert!(broke > 0.4 * asked);
        let saved = 40.0 + 0.5 * 0.1 * 2.0 * QUOTA;
        assert!(all <= 1.15 * 0.1 * asked + saved, "{all} of {asked}, cut {cut}");
        assert!(all >= 0.8 * 0.1 * asked, "{all} of {asked}, cut {cut}");
    }
}

#[test]
fn classes_are_counted_as_clubs_are() {
    let mut w = tier(40, 2.0, 9);
    w.play(10 * S);
    let (first, _) = off(w.views().iter().map(|v| v.classes[0]), 2.0 * QUOTA);
    let most = w.views().iter().map(|v| v.classes[1]).fold(0.0, f64::max);
    assert!(first < 0.25 && most < 1.0, "{first} {most}");
}
