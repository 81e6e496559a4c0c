//! A world: one simulated system with its clock, tasks and network.

use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::host::{EventLoop, HostFailure, HostId};
use crate::link::Link;
use crate::network::NetworkStats;
use crate::options::Options;
use crate::state::{EnterGuard, WorldInner};
use crate::tap::Tap;
use crate::task::TaskId;

/// One simulated system.
pub struct World {
    inner: Rc<WorldInner>,
}

impl World {
    /// A world without hosts.
    pub fn new(seed: u64, options: Options) -> World {
        World { inner: Rc::new(WorldInner::new(seed, options)) }
    }

    fn enter(&self) -> EnterGuard {
        EnterGuard::new(self.inner.clone())
    }

    /// Adds a host.
    pub fn add_host(&self, ip: IpAddr) -> HostId {
        self.inner.state.borrow_mut().network.add_host(ip)
    }

    /// Shows everything that passes on the network to `tap` from now on.
    pub fn set_tap(&self, tap: impl Tap + 'static) {
        *self.inner.tap.borrow_mut() = Some(Box::new(tap));
    }

    /// Spawns a task on a host.
    pub fn spawn(&self, host: HostId, task: impl Future<Output = ()> + 'static) -> TaskId {
        self.run_on(host, || self.inner.spawn(Box::pin(task)))
    }

    /// Runs `action` as a task on a host would, for example to open a listener there.
    pub fn run_on<T>(&self, host: HostId, action: impl FnOnce() -> T) -> T {
        let _entered = self.enter();
        let previous = std::mem::replace(&mut self.inner.state.borrow_mut().current_host, host);
        let value = action();
        self.inner.state.borrow_mut().current_host = previous;
        value
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Duration {
        self.inner.state.borrow().now
    }

    /// The current time as tasks see it.
    pub fn instant(&self) -> Instant {
        self.inner.instant(self.now())
    }

    /// Lets everything happen that happens up to `end`, then sets the clock to `end`. `check` is called
    /// after every step; its first error stops the run there.
    ///
    /// # Errors
    ///
    /// The first error of `check`.
    pub fn run_until<E>(
        &self,
        end: Duration,
        mut check: impl FnMut() -> Result<(), E>,
    ) -> Result<(), E> {
        let _entered = self.enter();
        while self.inner.step(end) {
            check()?;
        }
        Ok(())
    }

    /// Drops all tasks of a host, as if its processes were killed or the host had vanished. Their
    /// connections end accordingly.
    pub fn kill(&self, host: HostId, failure: HostFailure) {
        let _entered = self.enter();
        let futures = {
            let mut state = self.inner.state.borrow_mut();
            state.network.host_mut(host).failure = Some(failure);
            let of_host = state.tasks.iter().filter(|(_, task)| task.host == host);
            let mut ids: Vec<TaskId> = of_host.map(|(id, _)| *id).collect();
            ids.sort_unstable();
            ids.iter().filter_map(|id| state.tasks.remove(id)?.future).collect::<Vec<_>>()
        };
        // While the state is not borrowed: this closes sockets, which need it.
        drop(futures);
        let mut state = self.inner.state.borrow_mut();
        state.network.close_listeners(host);
        state.network.set_event_loop(host, EventLoop::Running);
        let host = state.network.host_mut(host);
        host.failure = None;
        host.reachable = failure == HostFailure::ProcessKilled;
    }

    /// Stops the processes of a host for a while: no task of it runs, while timers fall due and input
    /// arrives. Afterwards its tasks see timers that are due before they are told of any input.
    pub fn hold_up(&self, host: HostId, duration: Duration) {
        self.inner.state.borrow_mut().hold_up(host, duration);
    }

    /// Makes a host that had vanished reachable again, without anything that it held.
    pub fn revive(&self, host: HostId) {
        self.inner.state.borrow_mut().network.host_mut(host).reachable = true;
    }

    /// How many tasks of a host have not completed.
    pub fn task_count(&self, host: HostId) -> usize {
        self.inner.state.borrow().tasks.values().filter(|task| task.host == host).count()
    }

    /// How many sockets a host has open, listeners included.
    pub fn open_sockets(&self, host: HostId) -> usize {
        self.inner.state.borrow().network.hosts[host.0].open_sockets
    }

    /// Sets how many sockets a host may open, like a process's limit of descriptors.
    pub fn set_socket_limit(&self, host: HostId, limit: usize) {
        self.inner.state.borrow_mut().network.host_mut(host).socket_limit = limit;
    }

    /// Changes the link from one host to another.
    pub fn configure_link(&self, from: HostId, to: HostId, change: impl FnOnce(&mut Link)) {
        change(self.inner.state.borrow_mut().network.link_mut(from, to));
    }

    /// Resets every `nth` connection between two hosts, at both ends, and returns how many it reset.
    pub fn reset_connections(&self, a: HostId, b: HostId, nth: usize) -> usize {
        self.inner.state.borrow_mut().reset_connections(a, b, nth)
    }

    /// Loses everything that is and will be in flight on the present connections between two hosts, and
    /// returns their number.
    pub fn blackhole_connections(&self, a: HostId, b: HostId) -> usize {
        self.inner.state.borrow_mut().network.blackhole_connections(a, b)
    }

    /// Counters of what happened on the network.
    pub fn stats(&self) -> NetworkStats {
        self.inner.state.borrow().network.stats
    }

    /// The hash over everything that happened on the network.
    pub fn hash(&self) -> u64 {
        self.inner.state.borrow().trace.digest()
    }

    /// How many events were hashed.
    pub fn event_count(&self) -> u64 {
        self.inner.state.borrow().trace.event_count()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _entered = self.enter();
        *self.inner.tap.borrow_mut() = None;
        // Dropping tasks closes sockets and wakes other tasks, none of which runs any more.
        loop {
            let tasks = std::mem::take(&mut self.inner.state.borrow_mut().tasks);
            if tasks.is_empty() {
                break;
            }
            drop(tasks);
        }
    }
}
