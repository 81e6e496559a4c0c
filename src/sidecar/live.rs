//! The configuration values that a reload can change while requests are in progress. All others stay the same until the
//! process exits.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::config::{Config, ProtocolNames};
use super::resource_limits::max_servers;

/// Fraction of the servers' idle timeout during which an idle connection is reused.
const REUSE_FRACTION: f64 = 0.7;

/// The timeouts of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimeouts {
    /// Maximum time to establish a connection.
    pub connect: Duration,
    /// The idle time after which servers close a connection.
    pub idle: Duration,
    /// Maximum time between two reads of a response.
    pub read: Duration,
}

impl AttemptTimeouts {
    /// Maximum idle time of a connection that is reused.
    ///
    /// A request that is written while the server closes the connection is lost with a reset, so connections are
    /// retired well before the server's idle timeout.
    pub fn max_reuse_idle(self) -> Duration {
        self.idle.mul_f64(REUSE_FRACTION)
    }
}

/// The shared current values. A request in progress keeps the values that it started with.
pub struct LiveConfig {
    names: RefCell<Rc<ProtocolNames>>,
    deadlines: RefCell<Vec<Duration>>,
    timeouts: Cell<AttemptTimeouts>,
    max_attempts: Cell<usize>,
    may_hedge: Cell<bool>,
    max_body_bytes: Cell<usize>,
    max_servers: Cell<usize>,
    generation: Cell<u64>,
    /// The latest deadline of requests that were admitted before a reload; `None` without a reload.
    earlier_request_deadline: Cell<Option<Instant>>,
}

impl LiveConfig {
    /// Creates the values of `config`.
    pub fn new(config: &Config) -> Rc<LiveConfig> {
        Rc::new(LiveConfig {
            names: RefCell::new(config.names.clone()),
            deadlines: RefCell::new(deadlines(config)),
            timeouts: Cell::new(timeouts(config)),
            max_attempts: Cell::new(config.settings.limits.max_attempts),
            may_hedge: Cell::new(config.settings.limits.may_hedge),
            max_body_bytes: Cell::new(config.max_body_bytes),
            max_servers: Cell::new(max_servers(config.memory_bytes)),
            generation: Cell::new(config.generation),
            earlier_request_deadline: Cell::new(None),
        })
    }

    /// Applies the values of `config` at the time `now`.
    pub fn apply(&self, config: &Config, now: Instant) {
        let earlier = self.earlier_request_deadline.get().max(Some(now + self.longest_deadline()));
        self.earlier_request_deadline.set(earlier);
        *self.names.borrow_mut() = config.names.clone();
        *self.deadlines.borrow_mut() = deadlines(config);
        self.timeouts.set(timeouts(config));
        self.max_attempts.set(config.settings.limits.max_attempts);
        self.may_hedge.set(config.settings.limits.may_hedge);
        self.max_body_bytes.set(config.max_body_bytes);
        self.max_servers.set(max_servers(config.memory_bytes));
        self.generation.set(config.generation);
    }

    /// The names used in protocols for the numbers in the settings.
    pub fn names(&self) -> Rc<ProtocolNames> {
        self.names.borrow().clone()
    }

    /// The longest time that clients wait for a response to a request of this class.
    ///
    /// # Panics
    ///
    /// If the settings have no such class.
    pub fn deadline(&self, class: usize) -> Duration {
        self.deadlines.borrow()[class]
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines.borrow().iter().max().copied().unwrap_or_default()
    }

    /// The latest deadline of requests that were admitted by `now`.
    ///
    /// A request keeps the deadline with which it was admitted. If only the current deadlines were considered, a
    /// shutdown after a reload that shortened them would end while earlier requests are still in progress.
    pub fn last_request_deadline(&self, now: Instant) -> Instant {
        let deadline = now + self.longest_deadline();
        self.earlier_request_deadline.get().map_or(deadline, |earlier| earlier.max(deadline))
    }

    /// The timeouts of an attempt.
    pub fn timeouts(&self) -> AttemptTimeouts {
        self.timeouts.get()
    }

    /// Maximum number of attempts of a request.
    pub fn max_attempts(&self) -> usize {
        self.max_attempts.get()
    }

    /// Whether a request may have several attempts in flight.
    pub fn may_hedge(&self) -> bool {
        self.may_hedge.get()
    }

    /// Maximum size of a forwarded body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes.get()
    }

    /// Maximum number of servers taken from an endpoint list.
    pub fn max_servers(&self) -> usize {
        self.max_servers.get()
    }

    /// The generation of the current configuration.
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
