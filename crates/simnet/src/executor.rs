//! The single-threaded executor, which polls ready tasks, processes events and advances the clock.

use std::cmp::Reverse;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use rand::Rng;
use runtime::TaskHandle;

use crate::state::{Event, TimerId, WorldInner, WorldState, try_current};
use crate::task::{BoxedFuture, Task, TaskId, TaskWaker};

impl TaskHandle for TaskId {
    fn abort(&self) {
        if let Some(world) = try_current() {
            world.abort(*self);
        }
    }
}

impl WorldState {
    /// Removes the task that runs next from the ready tasks.
    fn next_ready_task(&mut self) -> Option<TaskId> {
        if self.network.is_any_host_held_up() {
            return self.next_ready_task_of_running_hosts();
        }
        if self.ready_tasks.is_empty() {
            return None;
        }
        let shuffled = self.options.shuffle_ready_tasks;
        let index = if shuffled { self.rng.random_range(0..self.ready_tasks.len()) } else { 0 };
        Some(self.ready_tasks.remove(index))
    }

    fn next_ready_task_of_running_hosts(&mut self) -> Option<TaskId> {
        let runs = |id: &TaskId| {
            let host = self.tasks.get(id).map(|task| task.host);
            host.is_none_or(|host| !self.network.hosts[host.0].is_held_up())
        };
        let ready = self.ready_tasks.iter().enumerate().filter(|(_, id)| runs(id));
        let ready: Vec<usize> = ready.map(|(index, _)| index).collect();
        if ready.is_empty() {
            return None;
        }
        let shuffled = self.options.shuffle_ready_tasks;
        let choice = if shuffled { self.rng.random_range(0..ready.len()) } else { 0 };
        Some(self.ready_tasks.remove(ready[choice]))
    }

    /// Removes the next event up to `end` from the queue and sets the clock to its time. Without such an event, sets
    /// the clock to `end`.
    fn next_event(&mut self, end: Duration) -> Option<Event> {
        if self.events.peek().is_none_or(|Reverse(next)| next.at > end) {
            self.now = self.now.max(end);
            return None;
        }
        let Reverse(next) = self.events.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}

impl WorldInner {
    /// Spawns a task on the current host.
    pub(crate) fn spawn(&self, future: BoxedFuture) -> TaskId {
        let mut state = self.state.borrow_mut();
        state.last_task += 1;
        let id = TaskId(state.last_task);
        let queued = AtomicBool::new(true);
        let waker = Arc::new(TaskWaker { task: id, queued, woken: self.woken.clone() });
        let host = state.current_host;
        state.tasks.insert(id, Task { host, future: Some(future), waker, aborted: false });
        state.ready_tasks.push(id);
        id
    }

    fn abort(&self, id: TaskId) {
        let mut state = self.state.borrow_mut();
        if let Some(task) = state.tasks.get_mut(&id) {
            task.aborted = true;
            task.waker.wake_by_ref();
        }
    }

    /// Polls one ready task, or processes one event if no task is ready. Returns false if nothing is left up to `end`.
    pub(crate) fn step(&self, end: Duration) -> bool {
        if let Some(id) = self.next_ready_task() {
            self.poll(id);
            return true;
        }
        let event = self.state.borrow_mut().next_event(end);
        match event {
            Some(Event::TimerFired(timer)) => self.fire_timer(timer),
            Some(Event::Network(event)) => self.state.borrow_mut().deliver(event),
            Some(Event::Resumed(host)) => self.state.borrow_mut().resume(host),
            Some(Event::InputReported(host)) => self.state.borrow_mut().report_input(host),
            None => return false,
        }
        true
    }

    fn next_ready_task(&self) -> Option<TaskId> {
        let mut state = self.state.borrow_mut();
        state.ready_tasks.append(&mut self.woken.lock().unwrap_or_else(PoisonError::into_inner));
        state.next_ready_task()
    }

    fn fire_timer(&self, timer: TimerId) {
        let waker = self.state.borrow_mut().timers.remove(&timer);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn poll(&self, id: TaskId) {
        let Some((mut future, waker)) = self.begin_poll(id) else { return };
        let waker = Waker::from(waker);
        let completed = future.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        let mut state = self.state.borrow_mut();
        match state.tasks.get_mut(&id) {
            Some(task) if !completed => task.future = Some(future),
            _ => {
                state.tasks.remove(&id);
                drop(state);
                // Dropping the future closes its sockets, which borrow the state, so the state is released first.
                drop(future);
            }
        }
    }

    /// Takes the future of a task for polling and makes its host the current one. Drops the future of an aborted task
    /// instead.
    fn begin_poll(&self, id: TaskId) -> Option<(BoxedFuture, Arc<TaskWaker>)> {
        let mut state = self.state.borrow_mut();
        let task = state.tasks.get_mut(&id)?;
        task.waker.queued.store(false, Ordering::Relaxed);
        let future = task.future.take();
        let (waker, host, aborted) = (task.waker.clone(), task.host, task.aborted);
        state.current_host = host;
        if aborted {
            state.tasks.remove(&id);
            drop(state);
            drop(future);
            return None;
        }
        Some((future?, waker))
    }
}
