//! New requests at servers that are gone, where lists are pushed and the agent is not well.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fakes::lag_watch::LagWatch;
use fakes::registry::RegistryFaults;

use crate::net::*;

/// Servers that each change replaces, and servers that stay.
const REPLACED: usize = 6;
const STAYING: usize = 3;
/// Clients of a play, and how long each waits between two requests.
const CLIENTS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(3);
/// `rules.stopSendingWithin` of the tests' settings, and the protocol's slack.
const GRACE: Duration = Duration::from_millis(500 + 50);
/// For how long after a change requests at servers that are gone are looked for.
const OBSERVED: Duration = Duration::from_millis(1800);
/// How long the agent is well between two changes.
const CALM: Duration = Duration::from_millis(400);
/// How much longer that and a silence last with each change, so that the change meets the calls at another moment.
const PHASE_STEP: Duration = Duration::from_millis(170);

const fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is wrong with the agent.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// It answers no call for this long, and then has the change.
    silence: Duration,
    /// It does not even accept connections meanwhile.
    accepts_nothing: bool,
    /// So long before the change all open connections fall silent; new ones are answered.
    stale_connections: Option<Duration>,
    /// From then on, how long each answer is on its way.
    answer_delay: Duration,
    /// From then on, how long after it is accepted a connection is first read.
    first_read_delay: Duration,
    /// From then on, how long the second half of each answer comes after the first.
    pause_within_answer: Duration,
}

impl Trouble {
    /// The faults that last beyond the change.
    fn delays(&self) -> RegistryFaults {
        RegistryFaults {
            answer_delay: self.answer_delay,
            first_read_delay: self.first_read_delay,
            pause_within_answer: self.pause_within_answer,
            ..RegistryFaults::default()
        }
    }

    /// Has the agent be in trouble up to the moment of the change. A silence lasts by `more` longer.
    fn lead_up(&self, agent: &Registry, more: Duration) {
        if !self.silence.is_zero() {
            let (silent, accepts_nothing) = (true, self.accepts_nothing);
            agent.set_faults(RegistryFaults { silent, accepts_nothing, ..self.delays() });
            thread::sleep(self.silence + more);
        }
        agent.set_faults(self.delays());
        if let Some(before_change) = self.stale_connections {
            agent.silence_open_connections();
            thread::sleep(before_change);
        }
    }
}

/// A server that notes when requests arrive.
struct TimedServer {
    server: Server,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl TimedServer {
    fn start() -> TimedServer {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let noted = arrivals.clone();
        let server = Server::start(move |id, socket| {
            noted.lock().expect("no panic").push(Instant::now());
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

/// Clients that send to a sidecar until this is dropped.
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
                    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
                    std::io::Write::write_all(&mut socket, look(&id).as_bytes()).expect("sent");
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

/// How long after each of some changes the last new request came to a server that was gone by then.
///
/// In each change, half a dozen servers are replaced in one version of the list. They go on answering: nothing
/// but the list tells that they are gone.
fn last_late_requests(trouble: Trouble, changes: usize) -> Vec<Duration> {
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
        thread::sleep(CALM + PHASE_STEP * change as u32);
        trouble.lead_up(&agent, PHASE_STEP * change as u32);
        let changed = Instant::now();
        let gone = listed.iter().map(|server| server.entry("left"));
        let new = unlisted.iter().map(|server| server.entry("active"));
        agent.update_all(gone.chain(new).collect());
        thread::sleep(OBSERVED);
        agent.set_faults(RegistryFaults::default());
        let late = listed.iter().filter_map(TimedServer::last_arrival).max();
        last.push(late.map_or(Duration::ZERO, |at| at.saturating_duration_since(changed)));
        std::mem::swap(&mut listed, &mut unlisted);
    }
    last
}

/// An agent fell silent for some seconds and was then slow to answer, just as most servers were replaced. The sidecar
/// went on sending to those that were gone, for up to 1.3 s where 0.5 s are allowed. While nothing comes from the
/// agent, another call was made every 125 ms; each took the place of the one before, and only the oldest was kept,
/// which such an agent never answers. An answer that takes longer than 125 ms could therefore not arrive before the
/// oldest call had timed out. In a play with answers that took 130 ms the log had
/// `discovery answers again version=2 unconfirmed_ms=1358 answer_ms=133`: the list was 1.36 s old when it was replaced
/// by an answer to a call that had been made 0.13 s before. With answers that took 100 ms the last request at a server
/// that was gone came after 0.49 s, with 130 ms after 1.02 s.
#[test]
fn agent_that_was_silent_and_answers_slowly_is_followed_within_the_grace() {
    let trouble = Trouble {
        silence: milliseconds(2500),
        answer_delay: milliseconds(150),
        ..Trouble::default()
    };
    let lags = LagWatch::start();
    let late = last_late_requests(trouble, 4);
    let held = late.iter().all(|&late| late <= GRACE);
    assert!(held, "last requests at gone servers: {late:?}; {}", lags.longest());
}

/// The same for open connections that fall silent while new ones are answered, for connections that are read late, and
/// for answers that are slow from an agent that is well otherwise.
#[test]
fn grace_holds_for_slow_answers_and_connections_that_fall_silent() {
    let stale = |ms| Some(milliseconds(ms));
    let sound = Trouble::default();
    let troubles = [
        Trouble { answer_delay: milliseconds(200), ..sound },
        Trouble { answer_delay: milliseconds(350), ..sound },
        Trouble { stale_connections: stale(1), ..sound },
        Trouble { stale_connections: stale(1), answer_delay: milliseconds(130), ..sound },
        Trouble { stale_connections: stale(150), answer_delay: milliseconds(200), ..sound },
        Trouble { stale_connections: stale(1), first_read_delay: milliseconds(130), ..sound },
        Trouble { stale_connections: stale(80), first_read_delay: milliseconds(200), ..sound },
        Trouble { silence: milliseconds(1500), answer_delay: milliseconds(300), ..sound },
        Trouble { silence: milliseconds(1500), accepts_nothing: true, ..sound },
    ];
    assert_grace_holds(&troubles);
}

/// The same for answers that come in two pieces, the second one late: the list in force is the old one until all of the new
/// one is there, and calls that follow meanwhile must not end the one that is being received.
#[test]
fn grace_holds_for_answers_that_come_in_pieces() {
    let stale = |ms| Some(milliseconds(ms));
    let sound = Trouble::default();
    let pause = |ms| Trouble { pause_within_answer: milliseconds(ms), ..sound };
    let troubles = [
        pause(200),
        pause(350),
        Trouble { stale_connections: stale(1), ..pause(130) },
        Trouble { stale_connections: stale(150), ..pause(200) },
        Trouble { stale_connections: stale(1), answer_delay: milliseconds(100), ..pause(130) },
        Trouble { silence: milliseconds(1500), ..pause(300) },
        Trouble { silence: milliseconds(1500), answer_delay: milliseconds(150), ..pause(150) },
    ];
    assert_grace_holds(&troubles);
}

/// Slower than the agents that the calls are timed for.
#[test]
fn grace_holds_for_answers_that_take_longer_than_the_grace() {
    assert_grace_holds(&[Trouble { answer_delay: milliseconds(600), ..Trouble::default() }]);
}

/// Plays each trouble, all at the same time, and checks when the last new request came to a server that was gone.
fn assert_grace_holds(troubles: &[Trouble]) {
    let lags = LagWatch::start();
    let play = |&trouble: &Trouble| thread::spawn(move || last_late_requests(trouble, 3));
    let plays: Vec<_> = troubles.iter().map(play).collect();
    for (trouble, play) in troubles.iter().zip(plays) {
        let late = play.join().expect("the play ends");
        let held = late.iter().all(|&late| late <= GRACE);
        assert!(held, "{late:?} with {trouble:?}; {}", lags.longest());
    }
}
