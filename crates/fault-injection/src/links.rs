//! The links between the parts of a trial, and what becomes of what passes on them. No I/O, and no clock but the
//! one passed in.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One part of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Part {
    /// A sidecar, by its number.
    Sidecar(u16),
    /// A log server, by its number.
    Server(u16),
    /// Discovery.
    Discovery,
}

/// What a way does to what passes on it, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shape {
    /// Nothing passes.
    pub cut: bool,
    /// All of it takes so long.
    pub delay: Duration,
    /// And up to so much more, drawn evenly.
    pub jitter: Duration,
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub twice: f64,
    /// The share that comes later than what was sent after it.
    pub late: f64,
    /// The share in which a byte is another.
    pub spoilt: f64,
    /// Bytes a second; 0: any number.
    pub rate: u64,
}

/// How much later a datagram comes that is overtaken, beyond delay and jitter.
pub const OVERTAKEN: Duration = Duration::from_millis(30);
/// What waits for its turn on a way with a bound on bytes a second; more is lost.
pub const QUEUE: Duration = Duration::from_millis(500);

impl Shape {
    /// Both one after the other.
    #[must_use]
    pub fn and(self, other: Shape) -> Shape {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Shape {
            cut: self.cut || other.cut,
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            loss: either(self.loss, other.loss),
            twice: either(self.twice, other.twice),
            late: either(self.late, other.late),
            spoilt: either(self.spoilt, other.spoilt),
            rate: match (self.rate, other.rate) {
                (0, rate) | (rate, 0) => rate,
                (a, b) => a.min(b),
            },
        }
    }
}

/// A shape that lies on the links from some to others.
#[derive(Clone, Debug, PartialEq)]
pub struct Laid {
    /// Which fault it is of.
    pub fault: usize,
    /// Senders.
    pub from: BTreeSet<Part>,
    /// Receivers.
    pub to: BTreeSet<Part>,
    /// Back as well.
    pub both: bool,
    /// What it does.
    pub shape: Shape,
}

/// All links, as they are now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Links {
    /// What lies on all of them.
    ground: Shape,
    laid: Vec<Laid>,
    dead: BTreeSet<Part>,
}

impl Links {
    /// Links on all of which this lies.
    pub fn over(ground: Shape) -> Links {
        Links { ground, ..Links::default() }
    }

    /// From now on this lies on its links as well.
    pub fn lay(&mut self, laid: Laid) {
        self.laid.push(laid);
    }

    /// From now on what this fault has laid is gone.
    pub fn lift(&mut self, fault: usize) {
        self.laid.retain(|l| l.fault != fault);
    }

    /// From now on nobody is at this part's address, or somebody again.
    pub fn dead(&mut self, part: Part, dead: bool) {
        if dead {
            self.dead.insert(part);
        } else {
            self.dead.remove(&part);
        }
    }

    /// Whether nobody is at this part's address.
    pub fn is_dead(&self, part: Part) -> bool {
        self.dead.contains(&part)
    }

    /// What the way from one to another does.
    pub fn shape(&self, from: Part, to: Part) -> Shape {
        let over = |l: &&Laid| {
            l.from.contains(&from) && l.to.contains(&to)
                || l.both && l.from.contains(&to) && l.to.contains(&from)
        };
        self.laid.iter().filter(over).fold(self.ground, |shape, l| shape.and(l.shape))
    }

    /// Whether no connection can come up between two: either way is cut.
    pub fn parted(&self, a: Part, b: Part) -> bool {
        self.shape(a, b).cut || self.shape(b, a).cut
    }
}

/// One datagram that arrives: so much later, with this byte changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// After it was sent.
    pub after: Duration,
    /// Which byte, and what it is changed by.
    pub spoilt: Option<(usize, u8)>,
}

/// What one way draws for its datagrams, one after the other. The same seed draws the same.
pub struct Draws {
    rng: SmallRng,
    /// When the last byte of what was sent before has left, since the trial's beginning.
    busy: Duration,
}

impl Draws {
    /// Of the way from one to another.
    pub fn new(seed: u64, from: Part, to: Part) -> Draws {
        let number = |part| match part {
            Part::Sidecar(n) => u64::from(n),
            Part::Server(n) => 1 << 16 | u64::from(n),
            Part::Discovery => 1 << 17,
        };
        let seed = seed ^ number(from) << 40 ^ number(to) << 20;
        Draws { rng: SmallRng::seed_from_u64(seed), busy: Duration::ZERO }
    }

    /// When a datagram of so many bytes arrives that is sent at `now`: never, once or twice.
    pub fn datagram(&mut self, shape: &Shape, now: Duration, bytes: usize) -> Vec<Arrival> {
        // All is drawn at any time, so that what is drawn for one does not hang on what befell another.
        let [loss, twice, late, spoilt]: [f64; 4] = self.rng.random();
        let at = self.rng.random_range(0..bytes.max(1));
        let by = self.rng.random_range(1..=u8::MAX);
        let jitters: [f64; 2] = self.rng.random();
        let queued = self.take_turn(shape.rate, now, bytes, QUEUE);
        if shape.cut || loss < shape.loss || queued > QUEUE {
            return Vec::new();
        }
        let spoilt = (spoilt < shape.spoilt && bytes > 0).then_some((at, by));
        let overtaken = if late < shape.late { OVERTAKEN } else { Duration::ZERO };
        let copies = if twice < shape.twice { 2 } else { 1 };
        let after = |jitter: &f64| queued + shape.delay + shape.jitter.mul_f64(*jitter) + overtaken;
        jitters[..copies].iter().map(|j| Arrival { after: after(j), spoilt }).collect()
    }

    /// How much later a piece of a connection arrives that is sent at `now`: a lost one is sent again.
    pub fn piece(&mut self, shape: &Shape, now: Duration, bytes: usize) -> Duration {
        let [loss, jitter]: [f64; 2] = self.rng.random();
        let again = if loss < shape.loss { Duration::from_millis(200) } else { Duration::ZERO };
        let queued = self.take_turn(shape.rate, now, bytes, Duration::MAX);
        queued + shape.delay + shape.jitter.mul_f64(jitter) + again
    }

    /// How long what is sent now waits for its turn and passes; beyond `most` it takes none.
    fn take_turn(&mut self, rate: u64, now: Duration, bytes: usize, most: Duration) -> Duration {
        if rate == 0 {
            return Duration::ZERO;
        }
        let took = Duration::from_secs_f64(bytes as f64 / rate as f64);
        let passed = self.busy.max(now) + took;
        if passed - now <= most {
            self.busy = passed;
        }
        passed - now
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Part = Part::Sidecar(0);
    const B: Part = Part::Sidecar(1);
    const C: Part = Part::Server(0);

    fn laid(fault: usize, from: Part, to: Part, both: bool, shape: Shape) -> Laid {
        Laid { fault, from: [from].into(), to: [to].into(), both, shape }
    }

    #[test]
    fn what_lies_on_a_way_lies_there_alone_and_goes_with_its_fault() {
        let cut = Shape { cut: true, ..Shape::default() };
        let lossy = Shape { loss: 0.5, delay: Duration::from_millis(3), ..Shape::default() };
        let mut links = Links::default();
        links.lay(laid(1, A, B, false, cut));
        links.lay(laid(2, B, A, true, lossy));
        links.lay(laid(3, A, B, false, lossy));
        assert!(links.shape(A, B).cut && !links.shape(B, A).cut, "one direction");
        assert!(links.parted(A, B) && links.parted(B, A), "nothing comes up over half a way");
        assert!(!links.parted(A, C));
        assert_eq!(links.shape(A, B).loss, 0.75, "two after the other");
        assert_eq!(links.shape(A, B).delay, Duration::from_millis(6));
        links.lift(1);
        links.lift(3);
        assert_eq!(links.shape(A, B), lossy);
        links.lift(2);
        assert_eq!(links, Links::default());
    }

    #[test]
    fn a_way_loses_doubles_and_spoils_its_shares_and_draws_the_same_again() {
        let shape = Shape { loss: 0.3, twice: 0.2, spoilt: 0.1, late: 0.25, ..Shape::default() };
        let play = |seed| {
            let mut draws = Draws::new(seed, A, B);
            let one = |_| draws.datagram(&shape, Duration::ZERO, 100);
            (0..20_000).map(one).collect::<Vec<_>>()
        };
        let all = play(7);
        assert!(all == play(7) && all != play(8));
        let share = |is: &dyn Fn(&&Vec<Arrival>) -> bool| {
            all.iter().filter(is).count() as f64 / all.len() as f64
        };
        let near = |share: f64, wanted: f64| assert!((share - wanted).abs() < 0.02, "{share}");
        near(share(&|a| a.is_empty()), 0.3);
        near(share(&|a| a.len() == 2), 0.7 * 0.2);
        near(share(&|a| a.first().is_some_and(|a| a.spoilt.is_some())), 0.7 * 0.1);
        near(share(&|a| a.first().is_some_and(|a| a.after >= OVERTAKEN)), 0.7 * 0.25);
        let cut = Shape { cut: true, ..Shape::default() };
        assert!(Draws::new(7, A, B).datagram(&cut, Duration::ZERO, 9).is_empty());
    }

    #[test]
    fn a_narrow_way_keeps_to_its_bytes_a_second() {
        let shape = Shape { rate: 10_000, ..Shape::default() };
        let mut draws = Draws::new(1, A, B);
        let mut passed = 0;
        // 40 kB within a second: the way takes 10 kB, and half a second's worth waits.
        for n in 0..400 {
            let now = Duration::from_micros(2500 * n);
            passed += draws.datagram(&shape, now, 100).len() * 100;
        }
        assert!((14_000..=16_000).contains(&passed), "{passed}");
    }
}
