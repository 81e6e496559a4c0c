//! Hold-ups: the processes of a host are stopped for a while, as by SIGSTOP or a busy machine.
//!
//! Timers fall due and input arrives meanwhile. When the processes go on, timers that are due are seen
//! first, and only then does the event loop tell of what has arrived.

use std::time::Duration;

use crate::host::{EventLoop, HostId};
use crate::state::{Event, WorldState};

impl WorldState {
    /// Stops the processes of a host for `duration`; one that is stopped stays so for as long as it was to be.
    pub(crate) fn hold_up(&mut self, host: HostId, duration: Duration) {
        if self.network.host_mut(host).event_loop == EventLoop::Running {
            self.network.set_event_loop(host, EventLoop::HeldUp);
            self.schedule(self.now + duration, Event::Resumed(host));
        }
    }

    /// Lets the processes of a host run again. What has arrived is told at the same instant, behind the
    /// tasks that are ready now.
    pub(crate) fn resume(&mut self, host: HostId) {
        if self.network.host_mut(host).event_loop == EventLoop::HeldUp {
            self.network.set_event_loop(host, EventLoop::CatchingUp);
            self.schedule(self.now, Event::InputReported(host));
        }
    }

    /// Tells the tasks of a host of what has arrived in a hold-up.
    pub(crate) fn report_input(&mut self, host: HostId) {
        if self.network.host_mut(host).event_loop == EventLoop::CatchingUp {
            self.network.set_event_loop(host, EventLoop::Running);
            self.network.report_input(host);
        }
    }
}
