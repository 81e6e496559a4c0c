//! The planned end: what was taken is answered, and nothing new is taken that could not be.

use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Platform;

use super::ingress::{AWAY_SEEN, Ingress};

/// New connections go on coming for up to 0.4 s; once none has come for a while after that, the
/// clients that have nothing under way are let go.
const COMING: Duration = Duration::from_millis(500);
/// No new connection for so long: there are no more to come.
const QUIET: Duration = Duration::from_millis(100);
/// What is not whole by now might not be answered in time. Killing comes no sooner than the
/// longest deadline and 0.7 s after the signal.
const LAST_TAKEN: Duration = Duration::from_millis(650);
/// What is left of that for long answers, beyond the longest deadline: what came just before 0.7 s
/// were over still has its whole time.
const SPARE: Duration = Duration::from_millis(695);
/// What has no answer so long before the end is told that it gets none.
const TELL: Duration = Duration::from_millis(20);
const LOOK: Duration = Duration::from_millis(10);

/// So long after clients were sent away, all that rest are let go.
const AWAY: Duration = Duration::from_secs(1);

/// Lets the clients go, one after the other, while they are sent away; never ends.
///
/// Danger: a client whose connection is closed just as it writes has to come again. Those that have
/// rested a while go first, and only once new ones go elsewhere.
pub async fn send_away<P: Platform>(ingress: Rc<Ingress<P>>) {
    loop {
        match ingress.away() {
            None => {
                ingress.away_changed.notified().await;
                continue;
            }
            Some(since) if since >= AWAY => ingress.close_idle(false),
            Some(since) if since >= AWAY_SEEN => ingress.close_rested(),
            Some(_) => {}
        }
        P::sleep(LOOK).await;
    }
}

/// Waits, from the signal on, until all is answered or nothing more can be. By `all_due` everything has
/// its answer that had been taken at the signal.
///
/// Danger: a process that ends takes with it what it still owes: requests that came late on connections
/// that were open, and answers of which the system has not passed on all. So no request has more time
/// than the process, what is left shortly before the end is told so, and a connection on which the last
/// answer was written is read on to its end. Harmful to a release that waits for each process: one whose
/// clients do not close takes half a second longer.
pub async fn drain<P: Platform>(ingress: Rc<Ingress<P>>, all_due: Instant) {
    let signal = P::now();
    let ends = all_due + SPARE;
    ingress.drain(ends - TELL);
    while P::since(signal) < COMING
        || (P::since(ingress.last_accepted()) < QUIET && P::since(signal) < LAST_TAKEN)
    {
        P::sleep(LOOK).await;
    }
    // Danger: a client whose connection is closed just as it writes comes again on a new one, so
    // new ones are accepted to the end.
    loop {
        ingress.close_idle(P::since(signal) >= LAST_TAKEN);
        let coming = P::since(signal) < LAST_TAKEN || P::since(ingress.last_accepted()) < QUIET;
        if ingress.owes_nothing() && !coming || P::now() >= ends {
            return;
        }
        if P::now() >= ends - TELL {
            ingress.give_up();
        }
        P::sleep(LOOK).await;
    }
}

/// The end of a sidecar whose successor has the listener: nothing new is accepted, every answer is
/// the last on its connection, and what rests is closed.
///
/// Danger: a client whose connection is closed just as it writes has to come again on a new one,
/// which the successor has. So at first only those are closed that have rested for a while; one that
/// goes on asking is told `Connection: close` with its next answer; one that
/// neither rests nor ends is cut when no answer could come in time any more.
pub async fn hand_over<P: Platform>(ingress: Rc<Ingress<P>>, all_due: Instant) {
    let signal = P::now();
    let ends = all_due + LAST_TAKEN;
    ingress.drain(ends - TELL);
    loop {
        if P::since(signal) >= LAST_TAKEN {
            ingress.close_idle(true);
        } else {
            ingress.close_rested();
        }
        if P::now() >= ends || (ingress.busy() == 0 && ingress.connected() == 0) {
            return;
        }
        if P::now() >= ends - TELL {
            ingress.give_up();
        }
        P::sleep(LOOK).await;
    }
}
