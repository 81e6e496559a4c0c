//! The state of a world with its event queue, and the current world of the thread.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

use crate::host::HostId;
use crate::network::Network;
use crate::network_event::NetworkEvent;
use crate::options::Options;
use crate::tap::{Tap, TapEvent};
use crate::task::{Task, TaskId, WokenTasks};
use crate::trace::Trace;

/// Identifies a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TimerId(u64);

/// An event in the queue.
pub(crate) enum Event {
    TimerFired(TimerId),
    Network(NetworkEvent),
    /// The processes of a host resume after a hold-up.
    Resumed(HostId),
    /// The event loop of a host reports the input that arrived in a hold-up.
    InputReported(HostId),
}

/// An event and its time. Events are ordered by time, then by a tie breaker (random if simultaneous events
/// are shuffled), then by the order in which they were scheduled.
pub(crate) struct ScheduledEvent {
    pub(crate) at: Duration,
    tie_breaker: u64,
    sequence: u64,
    pub(crate) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        let order = |e: &ScheduledEvent| (e.at, e.tie_breaker, e.sequence);
        order(self).cmp(&order(other))
    }
}

/// The mutable state of a world.
pub(crate) struct WorldState {
    /// The virtual time since the start.
    pub(crate) now: Duration,
    /// The host of the running task.
    pub(crate) current_host: HostId,
    pub(crate) tasks: FxHashMap<TaskId, Task>,
    pub(crate) last_task: u64,
    pub(crate) ready_tasks: Vec<TaskId>,
    pub(crate) timers: FxHashMap<TimerId, Waker>,
    last_timer: u64,
    pub(crate) events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event: u64,
    pub(crate) rng: SmallRng,
    pub(crate) trace: Trace,
    pub(crate) network: Network,
    pub(crate) options: Options,
}

impl WorldState {
    pub(crate) fn new(seed: u64, options: Options) -> WorldState {
        WorldState {
            now: Duration::ZERO,
            current_host: HostId(0),
            tasks: FxHashMap::default(),
            last_task: 0,
            ready_tasks: Vec::new(),
            timers: FxHashMap::default(),
            last_timer: 0,
            events: BinaryHeap::new(),
            last_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            trace: Trace::new(seed),
            network: Network::default(),
            options,
        }
    }

    /// Schedules an event at `at`, or now if `at` is in the past.
    pub(crate) fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        let shuffled = self.options.shuffle_simultaneous_events;
        let tie_breaker = if shuffled { self.rng.random() } else { 0 };
        let at = at.max(self.now);
        let sequence = self.last_event;
        self.events.push(Reverse(ScheduledEvent { at, tie_breaker, sequence, event }));
    }

    /// Schedules a network event `delay` from now.
    pub(crate) fn schedule_network(&mut self, delay: Duration, event: NetworkEvent) {
        self.schedule(self.now + delay, Event::Network(event));
    }

    /// Registers a timer that wakes `waker` at `deadline` plus the lag drawn from [`Options::timer_lag`].
    pub(crate) fn add_timer(&mut self, deadline: Duration, waker: Waker) -> TimerId {
        self.last_timer += 1;
        let timer = TimerId(self.last_timer);
        self.timers.insert(timer, waker);
        let lag = self.draw_timer_lag();
        self.schedule(deadline.saturating_add(lag), Event::TimerFired(timer));
        timer
    }

    fn draw_timer_lag(&mut self) -> Duration {
        let lag = self.options.timer_lag.clone();
        // A range with a single value must not draw from the generator, which would change the later draws.
        if lag.end > lag.start + Duration::from_nanos(1) {
            return draw_duration(&mut self.rng, &lag);
        }
        lag.start
    }
}

/// Returns true with the given probability. Draws from the generator only if the probability is positive.
pub(crate) fn draw_bool(rng: &mut SmallRng, probability: f64) -> bool {
    probability > 0.0 && rng.random_bool(probability.min(1.0))
}

/// Draws a duration uniformly from `range`, in nanoseconds. Returns the start of an empty range without a draw.
pub(crate) fn draw_duration(rng: &mut SmallRng, range: &Range<Duration>) -> Duration {
    if range.is_empty() {
        return range.start;
    }
    let nanos = range.start.as_nanos() as u64..range.end.as_nanos() as u64;
    Duration::from_nanos(rng.random_range(nanos))
}

/// The inner state of a world, shared by its tasks, sockets and timers.
pub(crate) struct WorldInner {
    /// The instant that corresponds to virtual time zero.
    start: Instant,
    pub(crate) woken: WokenTasks,
    pub(crate) state: RefCell<WorldState>,
    pub(crate) tap: RefCell<Option<Box<dyn Tap>>>,
}

impl WorldInner {
    pub(crate) fn new(seed: u64, options: Options) -> WorldInner {
        WorldInner {
            start: Instant::now(),
            woken: WokenTasks::default(),
            state: RefCell::new(WorldState::new(seed, options)),
            tap: RefCell::new(None),
        }
    }

    /// Converts a virtual time to an instant.
    pub(crate) fn instant(&self, since_start: Duration) -> Instant {
        self.start + since_start
    }

    /// Converts an instant to a virtual time, or to zero if it lies before the start.
    pub(crate) fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Passes an event to the tap, if one is set.
    pub(crate) fn notify_tap(&self, event: &TapEvent<'_>) {
        if let Some(tap) = self.tap.borrow_mut().as_mut() {
            let now = self.state.borrow().now;
            tap.on_event(now, event);
        }
    }
}

thread_local! {
    static CURRENT: RefCell<Option<Rc<WorldInner>>> = const { RefCell::new(None) };
}

/// Returns the current world of this thread, if there is one.
pub(crate) fn try_current() -> Option<Rc<WorldInner>> {
    CURRENT.try_with(|current| current.borrow().clone()).ok().flatten()
}

/// Returns the current world of this thread.
///
/// # Panics
///
/// Panics if there is none.
pub(crate) fn current() -> Rc<WorldInner> {
    try_current().expect("simulated sockets and clocks must be used inside a running world")
}

/// Makes a world the current one of the thread until the guard is dropped.
pub(crate) struct EnterGuard {
    previous: Option<Rc<WorldInner>>,
}

impl EnterGuard {
    pub(crate) fn new(world: Rc<WorldInner>) -> EnterGuard {
        let previous = CURRENT.with(|current| current.borrow_mut().replace(world));
        EnterGuard { previous }
    }
}

impl Drop for EnterGuard {
    fn drop(&mut self) {
        let previous = self.previous.take();
        CURRENT.with(|current| *current.borrow_mut() = previous);
    }
}
