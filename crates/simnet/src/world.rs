//! A simulated system with its clock, tasks and network.

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

/// A simulated system.
pub struct World {
    inner: Rc<WorldInner>,
}

impl World {
    /// Creates a world without hosts.
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

    /// Sets the observer of network events, in place of the previous one.
    pub fn set_tap(&self, tap: impl Tap + 'static) {
        *self.inner.tap.borrow_mut() = Some(Box::new(tap));
    }

    /// Spawns a task on a host.
    pub fn spawn(&self, host: HostId, task: impl Future<Output = ()> + 'static) -> TaskId {
        self.run_on(host, || self.inner.spawn(Box::pin(task)))
    }

    /// Runs `action` in the context of a host, as its tasks run, for example to open a listener there.
    pub fn run_on<T>(&self, host: HostId, action: impl FnOnce() -> T) -> T {
        let _entered = self.enter();
        let previous = std::mem::replace(&mut self.inner.state.borrow_mut().current_host, host);
        let value = action();
        self.inner.state.borrow_mut().current_host = previous;
        value
    }

    /// Returns the virtual time since the start.
    pub fn now(&self) -> Duration {
        self.inner.state.borrow().now
    }

    /// Returns the current virtual time as the instant that tasks read.
    pub fn instant(&self) -> Instant {
        self.inner.instant(self.now())
    }

    /// Runs all tasks and events up to `end`, then sets the clock to `end`. Calls `check` after every step, and
    /// stops at its first error.
    ///
    /// # Errors
    ///
    /// Returns the first error of `check`.
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

    /// Drops all tasks of a host, as if its processes were killed or the host became unreachable. Its
    /// connections are reset or blackholed accordingly.
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
        // Dropping the futures closes sockets, which borrow the state, so it must not be borrowed here.
        drop(futures);
        let mut state = self.inner.state.borrow_mut();
        state.network.close_listeners(host);
        state.network.set_event_loop(host, EventLoop::Running);
        let host = state.network.host_mut(host);
        host.failure = None;
        host.reachable = failure == HostFailure::ProcessKilled;
    }

    /// Stops the processes of a host for `duration`: none of its tasks run, while timers expire and input
    /// arrives. Afterwards its tasks handle expired timers before any input is reported to them.
    pub fn hold_up(&self, host: HostId, duration: Duration) {
        self.inner.state.borrow_mut().hold_up(host, duration);
    }

    /// Makes an unreachable host reachable again. Its former tasks and sockets are gone.
    pub fn revive(&self, host: HostId) {
        self.inner.state.borrow_mut().network.host_mut(host).reachable = true;
    }

    /// Returns the number of tasks of a host that have not completed.
    pub fn task_count(&self, host: HostId) -> usize {
        self.inner.state.borrow().tasks.values().filter(|task| task.host == host).count()
    }

    /// Returns the number of open sockets of a host, including listeners and connections in their backlogs.
    pub fn open_sockets(&self, host: HostId) -> usize {
        self.inner.state.borrow().network.hosts[host.0].open_sockets
    }

    /// Sets the maximum number of open sockets of a host, like the limit on open descriptors of a process.
    pub fn set_socket_limit(&self, host: HostId, limit: usize) {
        self.inner.state.borrow_mut().network.host_mut(host).socket_limit = limit;
    }

    /// Changes the properties of the link from one host to another.
    pub fn configure_link(&self, from: HostId, to: HostId, change: impl FnOnce(&mut Link)) {
        change(self.inner.state.borrow_mut().network.link_mut(from, to));
    }

    /// Resets every `nth` connection between two hosts at both ends. Returns the number of resets.
    pub fn reset_connections(&self, a: HostId, b: HostId, nth: usize) -> usize {
        self.inner.state.borrow_mut().reset_connections(a, b, nth)
    }

    /// Drops everything that is or will be in flight on the existing connections between two hosts. Returns
    /// the number of these connections.
    pub fn blackhole_connections(&self, a: HostId, b: HostId) -> usize {
        self.inner.state.borrow_mut().network.blackhole_connections(a, b)
    }

    /// Returns counters of network events.
    pub fn stats(&self) -> NetworkStats {
        self.inner.state.borrow().network.stats
    }

    /// Returns the hash of all network events so far.
    pub fn hash(&self) -> u64 {
        self.inner.state.borrow().trace.digest()
    }

    /// Returns the number of hashed events.
    pub fn event_count(&self) -> u64 {
        self.inner.state.borrow().trace.event_count()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _entered = self.enter();
        *self.inner.tap.borrow_mut() = None;
        // Dropping a task may run code that spawns tasks, so this repeats until none are left. Sockets are closed and
        // other tasks are woken, but no task runs.
        loop {
            let tasks = std::mem::take(&mut self.inner.state.borrow_mut().tasks);
            if tasks.is_empty() {
                break;
            }
            drop(tasks);
        }
    }
}
