//! The state of a world: its clock, tasks, events and network, and which world runs on this thread.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::ops::Range;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Wake, Waker};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

use crate::fabric::{HostId, Net, NetEvent, Tap, TapEvent};
use crate::trace::Trace;

/// What a world is like, beside its seed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Tasks that are ready run in drawn order, not first come, first served.
    pub shuffle: bool,
    /// Things that happen at one instant happen in drawn order.
    pub shuffle_ties: bool,
    /// A timer goes off late by so much, in nanoseconds: what rounding and a busy machine do.
    pub timer_lag: Range<u64>,
    /// The time of day at the start, since 1970.
    pub unix: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            shuffle: false,
            shuffle_ties: false,
            timer_lag: 0..1,
            unix: Duration::from_secs(1_700_000_000),
        }
    }
}

/// What happens at a time.
pub(crate) enum Event {
    Timer(u64),
    Net(NetEvent),
}

pub(crate) struct Scheduled {
    pub(crate) at: u64,
    pub(crate) tie: u64,
    pub(crate) seq: u64,
    pub(crate) event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.tie, self.seq).cmp(&(other.at, other.tie, other.seq))
    }
}

/// Ids of tasks that were woken, in order. Wakers have to be sendable; nothing here ever is sent.
pub(crate) type Woken = Arc<Mutex<Vec<u64>>>;

pub(crate) struct TaskWaker {
    pub(crate) id: u64,
    pub(crate) queued: AtomicBool,
    pub(crate) woken: Woken,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.woken.lock().unwrap_or_else(PoisonError::into_inner).push(self.id);
        }
    }
}

pub(crate) struct Entry {
    pub(crate) host: HostId,
    pub(crate) future: Option<Pin<Box<dyn Future<Output = ()>>>>,
    pub(crate) waker: Arc<TaskWaker>,
    pub(crate) aborted: bool,
}

pub(crate) struct State {
    pub(crate) now: u64,
    pub(crate) seq: u64,
    /// Whose task runs.
    pub(crate) host: HostId,
    pub(crate) tasks: FxHashMap<u64, Entry>,
    pub(crate) next_task: u64,
    pub(crate) ready: Vec<u64>,
    pub(crate) timers: FxHashMap<u64, Waker>,
    pub(crate) next_timer: u64,
    pub(crate) events: BinaryHeap<Reverse<Scheduled>>,
    pub(crate) rng: SmallRng,
    pub(crate) trace: Trace,
    pub(crate) net: Net,
    pub(crate) options: Options,
}

impl State {
    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.seq += 1;
        let tie = if self.options.shuffle_ties { self.rng.random() } else { 0 };
        let at = at.max(self.now);
        self.events.push(Reverse(Scheduled { at, tie, seq: self.seq, event }));
    }
}

pub(crate) struct Inner {
    pub(crate) start: Instant,
    pub(crate) woken: Woken,
    pub(crate) state: RefCell<State>,
    pub(crate) tap: RefCell<Option<Box<dyn Tap>>>,
    pub(crate) polls: Cell<u64>,
}

thread_local! {
    pub(crate) static CURRENT: RefCell<Option<Rc<Inner>>> = const { RefCell::new(None) };
}

/// The world that runs on this thread, if there is one.
pub(crate) fn try_current() -> Option<Rc<Inner>> {
    CURRENT.try_with(|c| c.borrow().clone()).ok().flatten()
}

pub(crate) fn current() -> Rc<Inner> {
    try_current().expect("simulated sockets and clocks exist only while their world runs")
}

impl Inner {
    pub(crate) fn instant(&self, ns: u64) -> Instant {
        self.start + Duration::from_nanos(ns)
    }

    pub(crate) fn ns(&self, at: Instant) -> u64 {
        u64::try_from(at.saturating_duration_since(self.start).as_nanos()).unwrap_or(u64::MAX)
    }

    /// Shows what passed to the tap, if there is one.
    pub(crate) fn show(&self, event: &TapEvent<'_>) {
        if let Some(tap) = self.tap.borrow_mut().as_mut() {
            let now = self.state.borrow().now;
            tap.see(Duration::from_nanos(now), event);
        }
    }
}
