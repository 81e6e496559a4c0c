//! Hold-ups: the processes of a host get no processor time for a while, as after SIGSTOP or on a busy machine.
//!
//! Timers expire and input arrives in the meantime. When the processes run again, expired timers are handled
//! first, and only then does the event loop report the input.

use std::time::Duration;

use crate::host::{EventLoop, HostId};
use crate::state::{Event, WorldState};

impl WorldState {
    /// Stops the processes of a host for `duration`. Has no effect on a host that is already held up, or whose event
    /// loop has not yet reported the input of the last hold-up.
    pub(crate) fn hold_up(&mut self, host: HostId, duration: Duration) {
        if self.network.host_mut(host).event_loop == EventLoop::Running {
            self.network.set_event_loop(host, EventLoop::HeldUp);
            self.schedule(self.now + duration, Event::Resumed(host));
        }
    }

    /// Resumes the processes of a host. Input is reported at the same instant, after the tasks that are ready
    /// now have run.
    pub(crate) fn resume(&mut self, host: HostId) {
        if self.network.host_mut(host).event_loop == EventLoop::HeldUp {
            self.network.set_event_loop(host, EventLoop::CatchingUp);
            self.schedule(self.now, Event::InputReported(host));
        }
    }

    /// Reports the input that arrived in a hold-up to the tasks of the host.
    pub(crate) fn report_input(&mut self, host: HostId) {
        if self.network.host_mut(host).event_loop == EventLoop::CatchingUp {
            self.network.set_event_loop(host, EventLoop::Running);
            self.network.report_input(host);
        }
    }
}
