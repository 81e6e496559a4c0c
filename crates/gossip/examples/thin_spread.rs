//! What the spread of one load over many sidecars costs, and what shared reports of servers' queues would give back:
//! `thin_spread SEEDS`. Nine servers of two cores at 98 % load, exponential work, aims as the trials have them; each
//! request goes to the better of two random servers, by what its sidecar knows: its own requests in flight and the
//! last report it heard, or the true queue as it was some time ago, or the same with its own sends since then.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVERS: usize = 9;
const CORES: usize = 2;
const LOAD: f64 = 0.98;
const SECONDS: f64 = 300.0;
/// What is answered before does not count.
const WARM: f64 = 20.0;
/// Share, mean work in seconds, and aim, by class.
const CLASSES: [(f64, f64, f64); 4] =
    [(0.40, 0.020, 0.15), (0.27, 0.036, 0.25), (0.17, 0.048, 0.4), (0.16, 0.060, 0.4)];
/// A report is half as good as none after so long, about.
const FADES: f64 = 0.8;

#[derive(Clone, Copy)]
enum Knows {
    /// Own requests in flight, and the last report that an answer brought.
    Own,
    /// Queues as they were so many seconds ago, and what was sent since.
    Shared(f64),
    /// Queues as they are.
    All,
}

struct Job {
    asked: f64,
    class: usize,
    sidecar: usize,
    work: f64,
}

#[derive(Default)]
struct Server {
    jobs: Vec<Job>,
    waiting: VecDeque<usize>,
    busy: usize,
    queue: usize,
    /// When the queue became so long.
    past: VecDeque<(f64, usize)>,
}

/// What one sidecar knows of one server.
#[derive(Clone, Default)]
struct Known {
    in_flight: usize,
    report: (f64, f64),
    sent: VecDeque<f64>,
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// The share served within the aims.
fn play(sidecars: usize, knows: Knows, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mean: f64 = CLASSES.iter().map(|(share, work, _)| share * work).sum();
    let rate = LOAD * (SERVERS * CORES) as f64 / mean;
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut known = vec![vec![Known::default(); SERVERS]; sidecars];
    // Ends of work, by nanoseconds: server, job.
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let nanos = |t: f64| (t * 1e9) as u64;
    let (mut next, mut in_time, mut all) = (0.0, 0_u64, 0_u64);
    loop {
        let end = ends.peek().map(|Reverse((at, ..))| *at as f64 / 1e9);
        if let Some(now) = end.filter(|end| *end <= next) {
            let Some(Reverse((_, at, n))) = ends.pop() else { break };
            let server = &mut servers[at];
            server.queue -= 1;
            server.past.push_back((now, server.queue));
            let job = &server.jobs[n];
            let known = &mut known[job.sidecar][at];
            known.in_flight -= 1;
            known.report = (now, server.queue as f64);
            if now > WARM {
                all += 1;
                in_time += u64::from(now - job.asked <= CLASSES[job.class].2);
            }
            match server.waiting.pop_front() {
                Some(n) => ends.push(Reverse((nanos(now + server.jobs[n].work), at, n))),
                None => server.busy -= 1,
            }
            continue;
        }
        let now = next;
        if now > SECONDS {
            return in_time as f64 / all as f64;
        }
        next += -uniform(&mut rng).ln() / rate;
        let mut at = uniform(&mut rng);
        let class = CLASSES.iter().position(|(share, ..)| {
            at -= share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let sidecar = rng.next_u64() as usize % sidecars;
        let one = rng.next_u64() as usize % SERVERS;
        let two = (one + 1 + rng.next_u64() as usize % (SERVERS - 1)) % SERVERS;
        let cost = |at: usize, servers: &mut [Server], known: &mut [Known]| -> (f64, f64) {
            let (server, known) = (&mut servers[at], &mut known[at]);
            match knows {
                Knows::All => (server.queue as f64, 0.0),
                Knows::Own => {
                    let fresh = (-(now - known.report.0) / FADES).exp();
                    (known.in_flight as f64, fresh * known.report.1 + (1.0 - fresh) * 3.0)
                }
                Knows::Shared(age) => {
                    while known.sent.front().is_some_and(|sent| *sent < now - age) {
                        known.sent.pop_front();
                    }
                    while server.past.get(1).is_some_and(|(since, _)| *since <= now - age) {
                        server.past.pop_front();
                    }
                    let then = server.past.front().map_or(0, |(_, queue)| *queue);
                    ((then + known.sent.len()) as f64, 0.0)
                }
            }
        };
        let mine = &mut known[sidecar];
        let (x, y) = (cost(one, &mut servers, mine), cost(two, &mut servers, mine));
        let at = if x <= y { one } else { two };
        mine[at].in_flight += 1;
        mine[at].sent.push_back(now);
        let server = &mut servers[at];
        let work = -uniform(&mut rng).ln() * CLASSES[class].1;
        server.jobs.push(Job { asked: now, class, sidecar, work });
        server.queue += 1;
        server.past.push_back((now, server.queue));
        let n = server.jobs.len() - 1;
        if server.busy < CORES {
            server.busy += 1;
            ends.push(Reverse((nanos(now + work), at, n)));
        } else {
            server.waiting.push_back(n);
        }
    }
    0.0
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(5);
    println!("in time of what is asked at {LOAD} of what servers can do; mean of {seeds} seeds");
    let show = |name: &str, sidecars: usize, knows: Knows| {
        let mean = (0..seeds).map(|s| play(sidecars, knows, s)).sum::<f64>() / seeds as f64;
        println!("{mean:6.3}  {sidecars:3} sidecars, {name}");
    };
    show("queues as they are", 96, Knows::All);
    for sidecars in [24, 48, 96] {
        show("what each knows itself", sidecars, Knows::Own);
    }
    for ms in [25, 50, 100, 150, 200, 300, 600] {
        let name = format!("queues {ms} ms ago and own sends since");
        show(&name, 96, Knows::Shared(f64::from(ms) / 1e3));
    }
}
