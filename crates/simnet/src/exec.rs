//! A world that runs: tasks take their turns, events happen, and the clock moves on.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use runtime::{Platform, Task};
use rustc_hash::FxHashMap;

use crate::fabric::{Death, HostId, Link, Net, Stats, Tap};
use crate::net::{self, SimListener, SimTcp, SimUdp};
use crate::state::{
    CURRENT, Entry, Event, Inner, Options, State, TaskWaker, Woken, current, try_current,
};
use crate::trace::Trace;

/// One simulated system.
pub struct World {
    inner: Rc<Inner>,
}

struct Entered(Option<Rc<Inner>>);

impl Drop for Entered {
    fn drop(&mut self) {
        let before = self.0.take();
        CURRENT.with(|c| *c.borrow_mut() = before);
    }
}

impl World {
    /// A world without hosts.
    pub fn new(seed: u64, options: Options) -> World {
        let state = State {
            now: 0,
            seq: 0,
            host: HostId(0),
            tasks: FxHashMap::default(),
            next_task: 0,
            ready: Vec::new(),
            timers: FxHashMap::default(),
            next_timer: 0,
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            trace: Trace::new(seed),
            net: Net::default(),
            options,
        };
        let inner = Inner {
            start: Instant::now(),
            woken: Woken::default(),
            state: RefCell::new(state),
            tap: RefCell::new(None),
            polls: Cell::new(0),
        };
        World { inner: Rc::new(inner) }
    }

    fn enter(&self) -> Entered {
        CURRENT.with(|c| Entered(c.borrow_mut().replace(self.inner.clone())))
    }

    /// Another machine.
    pub fn host(&self, ip: IpAddr) -> HostId {
        let mut state = self.inner.state.borrow_mut();
        state.net.add_host(ip)
    }

    /// From now on everything that passes on the network is shown to `tap`.
    pub fn set_tap(&self, tap: impl Tap + 'static) {
        *self.inner.tap.borrow_mut() = Some(Box::new(tap));
    }

    /// Runs a task on a machine.
    pub fn spawn(&self, host: HostId, task: impl Future<Output = ()> + 'static) -> TaskId {
        let _entered = self.enter();
        let before = std::mem::replace(&mut self.inner.state.borrow_mut().host, host);
        let id = self.inner.spawn(Box::pin(task));
        self.inner.state.borrow_mut().host = before;
        id
    }

    /// Opens a listener on a machine, and anything else that a task there could.
    pub fn on<T>(&self, host: HostId, act: impl FnOnce() -> T) -> T {
        let _entered = self.enter();
        let before = std::mem::replace(&mut self.inner.state.borrow_mut().host, host);
        let value = act();
        self.inner.state.borrow_mut().host = before;
        value
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        Duration::from_nanos(self.inner.state.borrow().now)
    }

    /// The same as tasks see it.
    pub fn instant(&self) -> Instant {
        self.inner.instant(self.inner.state.borrow().now)
    }

    /// Lets everything happen that happens before `end`, then it is `end`. `check` is asked after
    /// every step; its first error ends the run there.
    ///
    /// # Errors
    ///
    /// The first of `check`.
    pub fn run_until<E>(
        &self,
        end: Duration,
        mut check: impl FnMut() -> Result<(), E>,
    ) -> Result<(), E> {
        let _entered = self.enter();
        let end = end.as_nanos() as u64;
        while self.inner.step(end) {
            check()?;
        }
        Ok(())
    }

    /// Ends all tasks of a machine, as if its processes were killed. Connections that they held end
    /// as `how` says.
    pub fn kill(&self, host: HostId, how: Death) {
        let _entered = self.enter();
        let futures = {
            let mut state = self.inner.state.borrow_mut();
            state.net.hosts[host.0].death = Some(how);
            let mut ids: Vec<u64> =
                state.tasks.iter().filter(|(_, e)| e.host == host).map(|(id, _)| *id).collect();
            ids.sort_unstable();
            ids.iter().filter_map(|id| state.tasks.remove(id)?.future).collect::<Vec<_>>()
        };
        drop(futures);
        let mut state = self.inner.state.borrow_mut();
        state.net.close_listeners(host);
        state.net.hosts[host.0].death = None;
        state.net.set_up(host, how == Death::Reset);
    }

    /// A machine that had vanished is there again, with nothing that it held.
    pub fn revive(&self, host: HostId) {
        self.inner.state.borrow_mut().net.set_up(host, true);
    }

    /// How many tasks a machine has.
    pub fn tasks(&self, host: HostId) -> usize {
        self.inner.state.borrow().tasks.values().filter(|e| e.host == host).count()
    }

    /// How many sockets a machine has open, listeners included.
    pub fn sockets(&self, host: HostId) -> usize {
        self.inner.state.borrow().net.hosts[host.0].sockets
    }

    /// At most so many sockets from now on, as a process's limit of descriptors has it.
    pub fn limit_sockets(&self, host: HostId, limit: usize) {
        self.inner.state.borrow_mut().net.hosts[host.0].limit = limit;
    }

    /// Changes what a way between two machines is like.
    pub fn link(&self, from: HostId, to: HostId, change: impl FnOnce(&mut Link)) {
        let mut state = self.inner.state.borrow_mut();
        change(state.net.link_mut(from, to));
    }

    /// Resets every `nth` connection between two machines, at both ends; how many there were.
    pub fn reset_connections(&self, a: HostId, b: HostId, nth: usize) -> usize {
        let _entered = self.enter();
        net::reset_between(&self.inner, a, b, nth)
    }

    /// Lets the connections between two machines that are up now fall silent, for good; how many
    /// there were.
    pub fn silence_connections(&self, a: HostId, b: HostId) -> usize {
        self.inner.state.borrow_mut().net.silence_between(a, b)
    }

    /// What went over the network so far.
    pub fn stats(&self) -> Stats {
        self.inner.state.borrow().net.stats
    }

    /// The hash over all that has happened.
    pub fn hash(&self) -> u64 {
        self.inner.state.borrow().trace.digest()
    }

    /// How much has happened.
    pub fn steps(&self) -> u64 {
        self.inner.state.borrow().trace.steps()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _entered = self.enter();
        *self.inner.tap.borrow_mut() = None;
        // What tasks hold closes, and wakes others; nobody runs any more.
        loop {
            let tasks = std::mem::take(&mut self.inner.state.borrow_mut().tasks);
            if tasks.is_empty() {
                break;
            }
            drop(tasks);
        }
    }
}

impl Inner {
    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()>>>) -> TaskId {
        let mut state = self.state.borrow_mut();
        state.next_task += 1;
        let id = state.next_task;
        let queued = AtomicBool::new(true);
        let waker = Arc::new(TaskWaker { id, queued, woken: self.woken.clone() });
        let host = state.host;
        state.tasks.insert(id, Entry { host, future: Some(future), waker, aborted: false });
        state.ready.push(id);
        TaskId(id)
    }

    fn abort(&self, id: u64) {
        let mut state = self.state.borrow_mut();
        if let Some(entry) = state.tasks.get_mut(&id) {
            entry.aborted = true;
            entry.waker.wake_by_ref();
        }
    }

    /// One task's turn, or one event; false once nothing is left before `end`.
    fn step(&self, end: u64) -> bool {
        let next = {
            let mut state = self.state.borrow_mut();
            state.ready.append(&mut self.woken.lock().unwrap_or_else(PoisonError::into_inner));
            match state.ready.len() {
                0 => None,
                n => {
                    let at = if state.options.shuffle { state.rng.random_range(0..n) } else { 0 };
                    Some(state.ready.remove(at))
                }
            }
        };
        if let Some(id) = next {
            self.poll(id);
            return true;
        }
        let event = {
            let mut state = self.state.borrow_mut();
            if state.events.peek().is_none_or(|e| e.0.at > end) {
                state.now = state.now.max(end);
                return false;
            }
            let Some(Reverse(next)) = state.events.pop() else { return false };
            state.now = next.at;
            next.event
        };
        match event {
            Event::Timer(id) => {
                let waker = self.state.borrow_mut().timers.remove(&id);
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
            Event::Net(event) => net::happen(self, event),
        }
        true
    }

    fn poll(&self, id: u64) {
        let (future, waker) = {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.tasks.get_mut(&id) else { return };
            entry.waker.queued.store(false, Ordering::Relaxed);
            let future = entry.future.take();
            let (waker, host, aborted) = (entry.waker.clone(), entry.host, entry.aborted);
            state.host = host;
            if aborted {
                state.tasks.remove(&id);
                drop(state);
                drop(future);
                return;
            }
            (future, waker)
        };
        let Some(mut future) = future else { return };
        self.polls.set(self.polls.get() + 1);
        let waker = Waker::from(waker);
        let done = future.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut state = self.state.borrow_mut();
        match state.tasks.get_mut(&id) {
            Some(entry) if !done => {
                entry.future = Some(future);
            }
            _ => {
                state.tasks.remove(&id);
                drop(state);
                // Danger: what it holds closes sockets, which need the state.
                drop(future);
            }
        }
    }
}

/// A task of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskId(u64);

impl Task for TaskId {
    fn abort(&self) {
        if let Some(inner) = try_current() {
            inner.abort(self.0);
        }
    }
}

/// Done at a time of the world.
pub struct Sleep {
    at: Instant,
    timer: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let inner = current();
        let at = inner.ns(self.at);
        let mut state = inner.state.borrow_mut();
        if let Some(id) = self.timer {
            return match state.timers.get_mut(&id) {
                Some(waker) => {
                    waker.clone_from(cx.waker());
                    Poll::Pending
                }
                None => Poll::Ready(()),
            };
        }
        if at <= state.now {
            return Poll::Ready(());
        }
        state.next_timer += 1;
        let id = state.next_timer;
        state.timers.insert(id, cx.waker().clone());
        let lag = state.options.timer_lag.clone();
        let lag = if lag.end > lag.start + 1 { state.rng.random_range(lag) } else { lag.start };
        state.schedule(at.saturating_add(lag), Event::Timer(id));
        self.timer = Some(id);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let (Some(id), Some(inner)) = (self.timer, try_current()) {
            let waker = inner.state.borrow_mut().timers.remove(&id);
            drop(waker);
        }
    }
}

/// The simulated system, as network code sees it.
pub enum Sim {}

impl Platform for Sim {
    type Sleep = Sleep;
    type Task = TaskId;
    type Tcp = SimTcp;
    type Listener = SimListener;
    type Udp = SimUdp;

    fn now() -> Instant {
        let inner = current();
        let now = inner.state.borrow().now;
        inner.instant(now)
    }

    fn unix() -> Duration {
        let inner = current();
        let state = inner.state.borrow();
        state.options.unix + Duration::from_nanos(state.now)
    }

    fn sleep_until(at: Instant) -> Sleep {
        Sleep { at, timer: None }
    }

    fn spawn(task: impl Future<Output = ()> + 'static) -> TaskId {
        current().spawn(Box::pin(task))
    }

    async fn connect(to: SocketAddr) -> io::Result<SimTcp> {
        net::connect(to).await
    }
}
