//! What a new configuration may change while requests are under way. Everything else of it is
//! fixed from the start to the end of the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::budget::most_servers;
use super::config::{Config, Names};

/// How long the parts of an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// A connection, to come up.
    pub connect: Duration,
    /// A connection at rest, until servers may close it.
    pub idle: Duration,
    /// Between two pieces of an answer.
    pub gap: Duration,
}

impl Times {
    /// How long a connection may rest and still be used.
    ///
    /// Danger: what is written just as the server closes is lost as a reset. Connections are
    /// retired well before.
    pub fn retire(self) -> Duration {
        self.idle.mul_f64(0.7)
    }
}

/// The values now in force, shared by all that use them. What is under way keeps those that it
/// began with.
pub struct Live {
    names: RefCell<Rc<Names>>,
    deadlines: RefCell<Vec<Duration>>,
    times: Cell<Times>,
    longest: Cell<usize>,
    most_servers: Cell<usize>,
    generation: Cell<u64>,
    /// Until when what was taken under earlier deadlines may be under way.
    earlier: Cell<Option<Instant>>,
}

impl Live {
    /// The values of `config`.
    pub fn new(config: &Config) -> Rc<Live> {
        Rc::new(Live {
            names: RefCell::new(config.names.clone()),
            deadlines: RefCell::new(deadlines(config)),
            times: Cell::new(times(config)),
            longest: Cell::new(longest(config)),
            most_servers: Cell::new(most_servers(config.memory)),
            generation: Cell::new(config.generation),
            earlier: Cell::new(None),
        })
    }

    /// Puts the values of `config` in force, at the time `now`.
    pub fn take_over(&self, config: &Config, now: Instant) {
        self.earlier.set(self.earlier.get().max(Some(now + self.longest_deadline())));
        *self.names.borrow_mut() = config.names.clone();
        *self.deadlines.borrow_mut() = deadlines(config);
        self.times.set(times(config));
        self.longest.set(longest(config));
        self.most_servers.set(most_servers(config.memory));
        self.generation.set(config.generation);
    }

    /// Names that stand on sockets for numbers of the settings.
    pub fn names(&self) -> Rc<Names> {
        self.names.borrow().clone()
    }

    /// How long clients of a class wait at the most.
    pub fn deadline(&self, class: usize) -> Duration {
        self.deadlines.borrow()[class]
    }

    /// The longest time for which a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines.borrow().iter().max().copied().unwrap_or_default()
    }

    /// Until when requests that were taken up to `now` may be under way.
    ///
    /// Danger: what is under way keeps the deadline that it was taken with. A process that goes by the
    /// present ones alone ends under requests that were taken before these were shortened.
    pub fn all_due(&self, now: Instant) -> Instant {
        let due = now + self.longest_deadline();
        self.earlier.get().map_or(due, |earlier| earlier.max(due))
    }

    /// How long the parts of an attempt may take.
    pub fn times(&self) -> Times {
        self.times.get()
    }

    /// The longest body that is passed on, in bytes.
    pub fn longest(&self) -> usize {
        self.longest.get()
    }

    /// How many servers may be known.
    pub fn most_servers(&self) -> usize {
        self.most_servers.get()
    }

    /// The number of the configuration in force.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }
}

fn deadlines(config: &Config) -> Vec<Duration> {
    config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline)).collect()
}

fn times(config: &Config) -> Times {
    let limits = &config.settings.limits;
    let aims = config.settings.classes.iter().map(|c| c.aim);
    Times {
        connect: Duration::from_micros(limits.connect_timeout),
        idle: Duration::from_micros(limits.conn_idle),
        gap: Duration::from_micros(aims.min().unwrap_or_default()),
    }
}

fn longest(config: &Config) -> usize {
    config.longest_body
}
