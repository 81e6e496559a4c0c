//! The simulated system as a [`Runtime`].

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use runtime::Runtime;

use crate::listener::SimListener;
use crate::state::{TimerId, current, try_current};
use crate::task::TaskId;
use crate::tcp::{self, SimTcp};
use crate::udp::SimUdp;

/// The resolution of the clock.
const SHORTEST_TIME: Duration = Duration::from_nanos(1);

/// The simulated system: everything refers to the [`World`](crate::World) that runs on the thread.
///
/// Its functions panic outside of a world.
pub enum SimRuntime {}

impl Runtime for SimRuntime {
    type Sleep = Sleep;
    type TaskHandle = TaskId;
    type Tcp = SimTcp;
    type Listener = SimListener;
    type Udp = SimUdp;

    fn now() -> Instant {
        let world = current();
        let now = world.state.borrow().now;
        world.instant(now)
    }

    fn unix_time() -> Duration {
        let world = current();
        let state = world.state.borrow();
        state.options.unix_start + state.now
    }

    fn sleep_until(deadline: Instant) -> Sleep {
        Sleep { deadline, timer: None }
    }

    async fn deliver_events() {
        // Before the clock moves on, every task that was woken has run.
        Self::sleep(SHORTEST_TIME).await;
    }

    fn spawn(task: impl Future<Output = ()> + 'static) -> TaskId {
        current().spawn(Box::pin(task))
    }

    async fn connect(to: SocketAddr) -> io::Result<SimTcp> {
        tcp::connect(to).await
    }
}

/// Completes at a virtual time.
pub struct Sleep {
    deadline: Instant,
    /// Set once it was polled before its time.
    timer: Option<TimerId>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let world = current();
        let deadline = world.since_start(self.deadline);
        let mut state = world.state.borrow_mut();
        if let Some(timer) = self.timer {
            return match state.timers.get_mut(&timer) {
                Some(waker) => {
                    waker.clone_from(cx.waker());
                    Poll::Pending
                }
                None => Poll::Ready(()),
            };
        }
        if deadline <= state.now {
            return Poll::Ready(());
        }
        self.timer = Some(state.add_timer(deadline, cx.waker().clone()));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let (Some(timer), Some(world)) = (self.timer, try_current()) {
            let waker = world.state.borrow_mut().timers.remove(&timer);
            drop(waker);
        }
    }
}
