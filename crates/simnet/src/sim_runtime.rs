//! The implementation of [`Runtime`] by the simulation.

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

/// The resolution of the virtual clock.
const CLOCK_RESOLUTION: Duration = Duration::from_nanos(1);

/// The simulated system. Its functions act on the [`World`](crate::World) that runs on the current thread.
///
/// They panic outside of a world.
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
        // The clock advances only after every woken task has run.
        Self::sleep(CLOCK_RESOLUTION).await;
    }

    fn spawn(task: impl Future<Output = ()> + 'static) -> TaskId {
        current().spawn(Box::pin(task))
    }

    async fn connect(to: SocketAddr) -> io::Result<SimTcp> {
        tcp::connect(to).await
    }
}

/// A future that completes at a virtual time.
pub struct Sleep {
    deadline: Instant,
    /// The registered timer. `None` until the first poll before the deadline.
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
