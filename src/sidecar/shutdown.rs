//! Graceful shutdown: all admitted requests are served, and no request is admitted that could not be served in time.
//! Also closes client connections while operators drain this instance.

use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Runtime;

use super::ingress::{CloseScope, DRAIN_PROPAGATION_DELAY, Ingress};

/// Minimum delay from the signal until idle connections are closed. New connections arrive for up to 0.4 s after the
/// signal.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Time without a new connection after which no more are expected.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// Time from the signal after which an incomplete request is no longer admitted, since it might not be served in time.
/// The process is killed no earlier than 0.7 s plus the longest deadline after the signal.
const ADMISSION_PERIOD: Duration = Duration::from_millis(650);
/// Time from the signal, in addition to the longest deadline, after which the process exits: just before the 0.7 s after
/// which it may be killed.
const EXIT_GRACE_PERIOD: Duration = Duration::from_millis(695);
/// Time before the exit at which open requests are failed: the process may be held up for 0.15 s and killed right after
/// that.
const FAIL_MARGIN: Duration = Duration::from_millis(170);
/// Time before the exit at which the listener is closed, so that clients that were accepted last can send a request
/// before open requests are failed.
const ACCEPT_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a shutdown or a drain checks its progress.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay from the start of draining by operators until all idle connections are closed.
const DRAIN_CLOSE_ALL_DELAY: Duration = Duration::from_secs(1);

/// Closes client connections while operators drain this instance; never returns.
///
/// A client whose connection is closed while it writes has to retry. Therefore connections that have been idle for a
/// while are closed first, and only once clients can be expected to connect elsewhere.
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

/// Completes when all requests are served or the time for the shutdown is over. Has to be called at the signal. All
/// requests that were admitted before it have their responses by `last_request_deadline`.
///
/// When the process exits, late requests on open connections are lost, and so are responses that the system has not
/// sent completely. Therefore the time of each request is limited to that of the process, open requests are failed
/// shortly before the exit, and a connection on which the last response was written is read until its end. As a
/// drawback, a rollout that waits for each process takes half a second longer if clients do not close their
/// connections.
pub async fn drain<P: Runtime>(ingress: Rc<Ingress<P>>, last_request_deadline: Instant) {
    let signal = P::now();
    let exit = last_request_deadline + EXIT_GRACE_PERIOD;
    let last_accept = (exit - ACCEPT_MARGIN).max(signal + IDLE_CLOSE_DELAY);
    ingress.begin_shutdown(exit - FAIL_MARGIN);
    while P::elapsed_since(signal) < IDLE_CLOSE_DELAY
        || (P::elapsed_since(ingress.last_accepted()) < QUIET_PERIOD
            && P::elapsed_since(signal) < ADMISSION_PERIOD)
    {
        P::sleep(POLL_INTERVAL).await;
    }
    // A client whose connection is closed while it writes retries on a new one, so new connections are accepted for as
    // long as their requests can be served.
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

/// Shuts down a sidecar whose successor accepts on the same listener: no connection is accepted, every response closes
/// its connection, and idle connections are closed.
///
/// A client whose connection is closed while it writes has to retry on a new one, which the successor accepts.
/// Therefore only connections that have been idle for a while are closed at first. A client that keeps sending gets
/// `Connection: close` with its next response. A request that stays incomplete is rejected once its response could not
/// be in time any more.
pub async fn hand_over<P: Runtime>(ingress: Rc<Ingress<P>>, last_request_deadline: Instant) {
    let signal = P::now();
    let exit = last_request_deadline + ADMISSION_PERIOD;
    ingress.begin_shutdown(exit - FAIL_MARGIN);
    loop {
        if P::elapsed_since(signal) >= ADMISSION_PERIOD {
            ingress.close_idle(CloseScope::IdleAndReceiving);
        } else {
            ingress.close_evictable();
        }
        if P::now() >= exit || ingress.connection_count() == 0 {
            // Connections in the listener's queue belong to the successor.
            return ingress.record_exit(false);
        }
        if P::now() >= exit - FAIL_MARGIN {
            ingress.fail_open_requests();
        }
        P::sleep(POLL_INTERVAL).await;
    }
}
