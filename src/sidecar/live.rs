//! The values of the configuration that a reload can change while requests are in progress.
//! Everything else is fixed from the start to the end of the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::budget::max_servers;
use super::config::{Config, ProtocolNames};

/// The part of a server's idle timeout for which a connection is reused.
const REUSE_FRACTION: f64 = 0.7;

/// How long the parts of an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimeouts {
    /// Until a connection is established.
    pub connect: Duration,
    /// How long a connection may be idle before servers close it.
    pub idle: Duration,
    /// The longest time between two pieces of a response.
    pub read: Duration,
}

impl AttemptTimeouts {
    /// How long a connection may be idle and still be reused.
    ///
    /// A request that is written just as the server closes the connection is lost with a reset, so
    /// connections are retired well before.
    pub fn max_reuse_idle(self) -> Duration {
        self.idle.mul_f64(REUSE_FRACTION)
    }
}

/// The values in force, shared by all that use them. A request in progress keeps those that it
/// began with.
pub struct LiveConfig {
    names: RefCell<Rc<ProtocolNames>>,
    deadlines: RefCell<Vec<Duration>>,
    timeouts: Cell<AttemptTimeouts>,
    max_body_bytes: Cell<usize>,
    max_servers: Cell<usize>,
    generation: Cell<u64>,
    /// Until when requests may be in progress that were admitted under earlier deadlines.
    earlier_requests_due: Cell<Option<Instant>>,
}

impl LiveConfig {
    /// The values of `config`.
    pub fn new(config: &Config) -> Rc<LiveConfig> {
        Rc::new(LiveConfig {
            names: RefCell::new(config.names.clone()),
            deadlines: RefCell::new(deadlines(config)),
            timeouts: Cell::new(timeouts(config)),
            max_body_bytes: Cell::new(config.max_body_bytes),
            max_servers: Cell::new(max_servers(config.memory_bytes)),
            generation: Cell::new(config.generation),
            earlier_requests_due: Cell::new(None),
        })
    }

    /// Puts the values of `config` in force, at the time `now`.
    pub fn apply(&self, config: &Config, now: Instant) {
        let earlier = self.earlier_requests_due.get().max(Some(now + self.longest_deadline()));
        self.earlier_requests_due.set(earlier);
        *self.names.borrow_mut() = config.names.clone();
        *self.deadlines.borrow_mut() = deadlines(config);
        self.timeouts.set(timeouts(config));
        self.max_body_bytes.set(config.max_body_bytes);
        self.max_servers.set(max_servers(config.memory_bytes));
        self.generation.set(config.generation);
    }

    /// Names that are used on sockets for numbers of the settings.
    pub fn names(&self) -> Rc<ProtocolNames> {
        self.names.borrow().clone()
    }

    /// How long clients of a class wait at most.
    ///
    /// # Panics
    ///
    /// When the settings have no such class.
    pub fn deadline(&self, class: usize) -> Duration {
        self.deadlines.borrow()[class]
    }

    /// How long clients of any class wait at most.
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines.borrow().iter().max().copied().unwrap_or_default()
    }

    /// Until when requests that were admitted up to `now` may be in progress.
    ///
    /// A request keeps the deadline that it was admitted with. A process that goes by the present
    /// deadlines alone would end while requests are in progress that were admitted before a reload
    /// shortened them.
    pub fn all_requests_due(&self, now: Instant) -> Instant {
        let due = now + self.longest_deadline();
        self.earlier_requests_due.get().map_or(due, |earlier| earlier.max(due))
    }

    /// How long the parts of an attempt may take.
    pub fn timeouts(&self) -> AttemptTimeouts {
        self.timeouts.get()
    }

    /// The longest body that is forwarded, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes.get()
    }

    /// How many servers may be known.
    pub fn max_servers(&self) -> usize {
        self.max_servers.get()
    }

    /// The number of the configuration in force.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }
}

fn deadlines(config: &Config) -> Vec<Duration> {
    config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline)).collect()
}

fn timeouts(config: &Config) -> AttemptTimeouts {
    let limits = &config.settings.limits;
    let shortest_objective = config.settings.classes.iter().map(|c| c.latency_objective).min();
    AttemptTimeouts {
        connect: Duration::from_micros(limits.connect_timeout),
        idle: Duration::from_micros(limits.connection_idle_timeout),
        read: Duration::from_micros(shortest_objective.unwrap_or_default()),
    }
}
