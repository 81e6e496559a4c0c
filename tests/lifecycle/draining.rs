//! New requests to servers that are gone, while lists are pushed and the agent has a fault.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::lag_watch::LagWatch;
use fakes::registry::RegistryFaults;

use crate::net::*;

/// Number of servers that each change replaces, and number of servers that stay.
const REPLACED: usize = 6;
const STAYING: usize = 3;
/// Number of clients in a run, and the time that each waits between two requests.
const CLIENTS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(3);
/// `rules.stopSendingWithin` of the tests' settings, plus the tolerance of the protocol.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// Time after a change during which requests to servers that are gone are observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(1800);
/// Time without faults between two changes.
const FAULT_FREE_TIME: Duration = Duration::from_millis(400);
/// Increase of [`FAULT_FREE_TIME`] and of [`AgentFault::silence`] with each change, so that each change occurs at
/// another phase of the calls.
const PHASE_STEP: Duration = Duration::from_millis(170);

const fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The faults of the agent around each change.
#[derive(Clone, Copy, Debug, Default)]
struct AgentFault {
    /// Time before the change during which the agent answers no call.
    silence: Duration,
    /// Whether the agent accepts no connections during `silence` either.
    accepts_nothing: bool,
    /// Time before the change at which all open connections fall silent, while new ones are answered; `None` if they do
    /// not.
    stale_connections: Option<Duration>,
    /// The delay of each answer, from the end of `silence` until the end of the observation.
    answer_delay: Duration,
    /// The delay from accepting a connection to reading from it, during the same time.
    first_read_delay: Duration,
    /// The delay from the first half of each answer to the second, during the same time.
    pause_within_answer: Duration,
}

impl AgentFault {
    /// Returns the faults that last beyond the change.
    fn lasting_faults(&self) -> RegistryFaults {
        RegistryFaults {
            answer_delay: self.answer_delay,
            first_read_delay: self.first_read_delay,
            pause_within_answer: self.pause_within_answer,
            ..RegistryFaults::default()
        }
    }

    /// Injects the faults into the agent and returns at the time of the change. `more` extends the time without
    /// responses.
    fn inject_before_change(&self, agent: &Registry, more: Duration) {
        if !self.silence.is_zero() {
            let (silent, accepts_nothing) = (true, self.accepts_nothing);
            agent.set_faults(RegistryFaults { silent, accepts_nothing, ..self.lasting_faults() });
            thread::sleep(self.silence + more);
        }
        agent.set_faults(self.lasting_faults());
        if let Some(before_change) = self.stale_connections {
            agent.silence_open_connections();
            thread::sleep(before_change);
        }
    }
}

/// A server that records when requests arrive.
struct TimedServer {
    server: Server,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl TimedServer {
    fn start() -> TimedServer {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let server = Server::start(move |id, socket| {
            recorded.lock().expect("no panic").push(Instant::now());
            std::io::Write::write_all(socket, answer(id).as_bytes()).is_ok()
        });
        TimedServer { server, arrivals }
    }

    fn start_many(count: usize) -> Vec<TimedServer> {
        (0..count).map(|_| TimedServer::start()).collect()
    }

    fn entry(&self, health: &'static str) -> Entry {
        Entry { health, ..Entry::new(self.server.at, "a") }
    }

    fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.lock().expect("no panic").last().copied()
    }
}

/// Clients that send requests to a sidecar until this is dropped.
struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(sidecar: SocketAddr) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicUsize::new(0));
        let threads = (0..CLIENTS).map(|_| {
            let (stopped, next) = (stopped.clone(), next.clone());
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    let id = format!("look{}", next.fetch_add(1, Ordering::Relaxed));
                    let mut socket = std::net::TcpStream::connect(sidecar).expect("connected");
                    socket.set_read_timeout(Some(PATIENCE)).expect("a read timeout");
                    std::io::Write::write_all(&mut socket, get_request(&id).as_bytes())
                        .expect("sent");
                    assert!(first_answer(socket).ends_with(&id), "{id} is served");
                    thread::sleep(REQUEST_INTERVAL);
                }
            })
        });
        let threads = threads.collect();
        Clients { stopped, threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.threads.drain(..) {
            let ended = client.join();
            assert!(ended.is_ok() || thread::panicking(), "a client was not served");
        }
    }
}

/// Returns, for each of some changes, the time from the change to the last new request to a server that is gone.
///
/// Each change replaces six servers in one version of the list. The replaced servers still answer, so only the list
/// tells that they are gone.
fn last_late_requests(fault: AgentFault, changes: usize) -> Vec<Duration> {
    let [mut listed, mut unlisted] = [(); 2].map(|()| TimedServer::start_many(REPLACED));
    let staying = TimedServer::start_many(STAYING);
    let entries = listed.iter().chain(&staying).map(|server| server.entry("active"));
    let agent = Registry::start(entries.collect());
    let sidecar = Sidecar::start_with(agent.clone(), |config| {
        config["limits"]["sockets"] = 256.into();
    });
    let _clients = Clients::start(sidecar.at);
    let mut last = Vec::new();
    for change in 0..changes {
        thread::sleep(FAULT_FREE_TIME + PHASE_STEP * change as u32);
        fault.inject_before_change(&agent, PHASE_STEP * change as u32);
        let changed = Instant::now();
        let gone = listed.iter().map(|server| server.entry("left"));
        let new = unlisted.iter().map(|server| server.entry("active"));
        agent.update_all(gone.chain(new).collect());
        thread::sleep(OBSERVATION_TIME);
        agent.set_faults(RegistryFaults::default());
        let late = listed.iter().filter_map(TimedServer::last_arrival).max();
        last.push(late.map_or(Duration::ZERO, |at| at.saturating_duration_since(changed)));
        std::mem::swap(&mut listed, &mut unlisted);
    }
    last
}

/// The agent is silent for some seconds and then slow to answer, while most servers are replaced. A sidecar that makes
/// a new call every 125 ms and cancels the previous one for it, keeping only the oldest, fails here: the agent never
/// answers the oldest call, and an answer that takes longer than 125 ms cannot arrive before that call times out. Such
/// a sidecar sent requests to servers that were gone for up to 1.3 s, where 0.5 s are allowed: up to 0.49 s with
/// answers that take 100 ms, and up to 1.02 s with 130 ms, when the list was replaced after 1.36 s without
/// confirmation.
#[test]
fn agent_that_was_silent_and_answers_slowly_is_followed_within_the_grace() {
    let fault = AgentFault {
        silence: milliseconds(2500),
        answer_delay: milliseconds(150),
        ..AgentFault::default()
    };
    let lags = LagWatch::start();
    let late = last_late_requests(fault, 4);
    let within_grace = late.iter().all(|&late| late <= GRACE);
    assert!(within_grace, "last requests at gone servers: {late:?}; {}", lags.longest());
}

/// The grace also holds if open connections fall silent while new ones are answered, if connections are read late, and
/// if an agent without other faults answers slowly.
#[test]
fn grace_holds_for_slow_answers_and_connections_that_fall_silent() {
    let stale = |ms| Some(milliseconds(ms));
    let no_fault = AgentFault::default();
    let faults = [
        AgentFault { answer_delay: milliseconds(200), ..no_fault },
        AgentFault { answer_delay: milliseconds(350), ..no_fault },
        AgentFault { stale_connections: stale(1), ..no_fault },
        AgentFault { stale_connections: stale(1), answer_delay: milliseconds(130), ..no_fault },
        AgentFault { stale_connections: stale(150), answer_delay: milliseconds(200), ..no_fault },
        AgentFault { stale_connections: stale(1), first_read_delay: milliseconds(130), ..no_fault },
        AgentFault {
            stale_connections: stale(80),
            first_read_delay: milliseconds(200),
            ..no_fault
        },
        AgentFault { silence: milliseconds(1500), answer_delay: milliseconds(300), ..no_fault },
        AgentFault { silence: milliseconds(1500), accepts_nothing: true, ..no_fault },
    ];
    assert_grace_holds(&faults);
}

/// The grace also holds if the second half of each answer is late: the old list is in use until the new one is
/// complete, and calls made meanwhile must not cancel the one whose response is being received.
#[test]
fn grace_holds_for_answers_that_come_in_pieces() {
    let stale = |ms| Some(milliseconds(ms));
    let no_fault = AgentFault::default();
    let pause = |ms| AgentFault { pause_within_answer: milliseconds(ms), ..no_fault };
    let faults = [
        pause(200),
        pause(350),
        AgentFault { stale_connections: stale(1), ..pause(130) },
        AgentFault { stale_connections: stale(150), ..pause(200) },
        AgentFault { stale_connections: stale(1), answer_delay: milliseconds(100), ..pause(130) },
        AgentFault { silence: milliseconds(1500), ..pause(300) },
        AgentFault { silence: milliseconds(1500), answer_delay: milliseconds(150), ..pause(150) },
    ];
    assert_grace_holds(&faults);
}

/// The schedule of the calls is designed for agents that answer faster than this.
#[test]
fn grace_holds_for_answers_that_take_longer_than_the_grace() {
    assert_grace_holds(&[AgentFault { answer_delay: milliseconds(600), ..AgentFault::default() }]);
}

/// Runs all faults in parallel, and checks that the last new request to a server that is gone is within the grace.
fn assert_grace_holds(faults: &[AgentFault]) {
    let lags = LagWatch::start();
    let run = |&fault: &AgentFault| thread::spawn(move || last_late_requests(fault, 3));
    let runs: Vec<_> = faults.iter().map(run).collect();
    for (fault, run) in faults.iter().zip(runs) {
        let late = run.join().expect("the run ends");
        let within_grace = late.iter().all(|&late| late <= GRACE);
        assert!(within_grace, "{late:?} with {fault:?}; {}", lags.longest());
    }
}
