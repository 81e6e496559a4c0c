//! Graceful shutdown: requests that were admitted are served, and none is admitted that could not
//! be. Also the draining of clients that operators ask for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::ingress::{CloseScope, DRAIN_PROPAGATION_DELAY, Ingress};

/// New connections continue to arrive for up to 0.4 s after the signal; once none has for a while
/// after that, idle connections are closed.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Without a new connection for this long, no more are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// A request that is incomplete this long after the signal might not be served in time. The process
/// is killed no sooner than the longest deadline and 0.7 s after the signal.
const ADMISSION_PERIOD: Duration = Duration::from_millis(650);
/// How much of that is used, beyond the longest deadline.
const EXIT_GRACE_PERIOD: Duration = Duration::from_millis(695);
/// How long before the end of the process open requests are failed: it may be held up for 0.15 s, and be killed
/// right after that.
const FAIL_MARGIN: Duration = Duration::from_millis(170);
/// How long before the end of the process the listener is closed: what was accepted by then has time to send
/// its request before that is failed.
const ACCEPT_MARGIN: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long after operators have drained this instance all idle connections are closed.
const DRAIN_CLOSE_ALL_DELAY: Duration = Duration::from_secs(1);

/// Closes the clients' connections, one after the other, while operators drain this instance; never
/// ends.
///
/// A client whose connection is closed just as it writes has to retry. Connections that have been
/// idle for a while are closed first, and only once new ones are opened elsewhere.
pub async fn close_drained_clients<P: Runtime>(ingress: Rc<Ingress<P>>) {
    loop {
        match ingress.drained_for() {
            None => {
                ingress.drained_changed().await;
                continue;
            }
            Some(time) if time >= DRAIN_CLOSE_ALL_DELAY => ingress.close_idle(CloseScope::Idle),
            Some(time) if time >= DRAIN_PROPAGATION_DELAY => ingress.close_evictable(),
            Some(_) => {}
        }
        P::sleep(POLL_INTERVAL).await;
    }
}

/// Waits, from the signal on, until everything is served or nothing more can be. By
/// `all_requests_due` every request has its response that had been admitted at the signal.
///
/// A process that ends loses what it still owes: requests that came late on open connections, and
/// responses of which the system has not sent everything. So no request has more time than the
/// process, what is open shortly before the end is failed, and a connection on which the last
/// response was written is read on to its end. A rollout that waits for each process takes half a
/// second longer if the clients do not close their connections.
pub async fn drain<P: Runtime>(ingress: Rc<Ingress<P>>, all_requests_due: Instant) {
    let signal = P::now();
    let exit = all_requests_due + EXIT_GRACE_PERIOD;
    let last_accept = (exit - ACCEPT_MARGIN).max(signal + IDLE_CLOSE_DELAY);
    ingress.begin_shutdown(exit - FAIL_MARGIN);
    while P::elapsed_since(signal) < IDLE_CLOSE_DELAY
        || (P::elapsed_since(ingress.last_accepted()) < QUIET_PERIOD
            && P::elapsed_since(signal) < ADMISSION_PERIOD)
    {
        P::sleep(POLL_INTERVAL).await;
    }
    // A client whose connection is closed just as it writes retries on a new one, so new ones are
    // accepted for as long as they can be served.
    loop {
        let is_admitting = P::elapsed_since(signal) < ADMISSION_PERIOD;
        ingress.close_idle(if is_admitting {
            CloseScope::Idle
        } else {
            CloseScope::IdleAndReceiving
        });
        let arriving = is_admitting || P::elapsed_since(ingress.last_accepted()) < QUIET_PERIOD;
        let finished = ingress.connection_count() == 0;
        if !arriving && finished || P::now() >= last_accept {
            ingress.stop_accepting();
        }
        if P::now() >= exit || finished && ingress.has_stopped_accepting() {
            return ingress.record_exit(!ingress.has_stopped_accepting());
        }
        if P::now() >= exit - FAIL_MARGIN {
            ingress.fail_open_requests();
        }
        P::sleep(POLL_INTERVAL).await;
    }
}

/// The shutdown of a sidecar whose successor has taken over the listener: nothing new is accepted,
/// every response is the last on its connection, and idle connections are closed.
///
/// A client whose connection is closed just as it writes has to retry on a new one, which the
/// successor accepts. So at first only those connections are closed that have been idle for a
/// while; a client that goes on sending is told `Connection: close` with its next response; one
/// that is neither idle nor finishes is cut off when no response could be in time any more.
pub async fn hand_over<P: Runtime>(ingress: Rc<Ingress<P>>, all_requests_due: Instant) {
    let signal = P::now();
    let exit = all_requests_due + ADMISSION_PERIOD;
    ingress.begin_shutdown(exit - FAIL_MARGIN);
    loop {
        if P::elapsed_since(signal) >= ADMISSION_PERIOD {
            ingress.close_idle(CloseScope::IdleAndReceiving);
        } else {
            ingress.close_evictable();
        }
        if P::now() >= exit || ingress.connection_count() == 0 {
            // The queue is the successor's.
            return ingress.record_exit(false);
        }
        if P::now() >= exit - FAIL_MARGIN {
            ingress.fail_open_requests();
        }
        P::sleep(POLL_INTERVAL).await;
    }
}
