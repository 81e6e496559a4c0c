//! Simulates how much latency is lost by spreading one load over many sidecars, and how much of it sharing load reports
//! between sidecars would regain: `shared_load_reports SEEDS`. There are nine servers with two cores at 98 % load,
//! exponentially distributed work, and the latency objectives of the trials. Each request goes to the better of two
//! random servers, by the knowledge of its sidecar: either its own requests in flight and the last load report it has
//! received, or the queue lengths of some time ago and its own requests since then, or the exact queue lengths.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVER_COUNT: usize = 9;
const CORES: usize = 2;
/// Utilization of the servers.
const LOAD: f64 = 0.98;
/// Duration of a run, in seconds.
const DURATION_S: f64 = 300.0;
/// Time before which answers do not count, in seconds.
const WARM_UP_S: f64 = 20.0;
/// Decay time of load reports, in seconds: at this age, a report has lost about two thirds of its weight.
const REPORT_DECAY_S: f64 = 0.8;
/// Queue length that is assumed without a report.
const ASSUMED_QUEUE: f64 = 3.0;

/// A class of requests.
struct Class {
    /// Share of all requests.
    share: f64,
    mean_work_s: f64,
    objective_s: f64,
}

const CLASSES: [Class; 4] = [
    Class { share: 0.40, mean_work_s: 0.020, objective_s: 0.15 },
    Class { share: 0.27, mean_work_s: 0.036, objective_s: 0.25 },
    Class { share: 0.17, mean_work_s: 0.048, objective_s: 0.4 },
    Class { share: 0.16, mean_work_s: 0.060, objective_s: 0.4 },
];

/// The knowledge by which a sidecar selects servers.
#[derive(Clone, Copy)]
enum Knowledge {
    /// Its own requests in flight, and the load report in the last answer.
    Own,
    /// The queue lengths of this many seconds ago, and its own requests since then.
    Delayed(f64),
    /// The current queue lengths.
    Exact,
}

struct Job {
    arrived_at: f64,
    class: usize,
    sidecar: usize,
    work_s: f64,
}

#[derive(Default)]
struct Server {
    jobs: Vec<Job>,
    waiting: VecDeque<usize>,
    busy_cores: usize,
    queue: usize,
    /// Times of changes of the queue length, with the new lengths.
    history: VecDeque<(f64, usize)>,
}

/// One sidecar's view of one server.
#[derive(Clone, Default)]
struct ServerView {
    in_flight: usize,
    /// Time of the last load report, and the queue length in it.
    report: (f64, f64),
    /// Times at which requests were sent.
    sent: VecDeque<f64>,
}

/// The completion of a job: its time in nanoseconds, the server, and the index of the job there.
type Completion = Reverse<(u64, usize, usize)>;

struct Simulation {
    rng: Pcg64Mcg,
    knowledge: Knowledge,
    servers: Vec<Server>,
    /// Views by sidecar and server.
    views: Vec<Vec<ServerView>>,
    completions: BinaryHeap<Completion>,
    answered: u64,
    within_objective: u64,
}

fn nanoseconds(seconds: f64) -> u64 {
    (seconds * 1e9) as u64
}

impl Simulation {
    fn new(sidecars: usize, knowledge: Knowledge, seed: u64) -> Simulation {
        Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            knowledge,
            servers: (0..SERVER_COUNT).map(|_| Server::default()).collect(),
            views: vec![vec![ServerView::default(); SERVER_COUNT]; sidecars],
            completions: BinaryHeap::new(),
            answered: 0,
            within_objective: 0,
        }
    }

    /// Draws a random number, uniformly distributed from 0 to 1, both excluded.
    fn uniform(&mut self) -> f64 {
        ((self.rng.next_u64() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
    }

    /// Runs the simulation and returns the share of answers within the latency objective.
    fn run(mut self) -> f64 {
        let mean_work_s: f64 = CLASSES.iter().map(|class| class.share * class.mean_work_s).sum();
        let rate = LOAD * (SERVER_COUNT * CORES) as f64 / mean_work_s;
        let mut next_arrival = 0.0;
        loop {
            let end = self.completions.peek().map(|Reverse((at, ..))| *at as f64 / 1e9);
            if let Some(now) = end.filter(|end| *end <= next_arrival) {
                self.complete(now);
                continue;
            }
            let now = next_arrival;
            if now > DURATION_S {
                return self.within_objective as f64 / self.answered as f64;
            }
            next_arrival += -self.uniform().ln() / rate;
            self.arrive(now);
        }
    }

    fn complete(&mut self, now: f64) {
        let Some(Reverse((_, at, n))) = self.completions.pop() else { return };
        let server = &mut self.servers[at];
        server.queue -= 1;
        server.history.push_back((now, server.queue));
        let job = &server.jobs[n];
        let view = &mut self.views[job.sidecar][at];
        view.in_flight -= 1;
        view.report = (now, server.queue as f64);
        if now > WARM_UP_S {
            let is_in_time = now - job.arrived_at <= CLASSES[job.class].objective_s;
            self.answered += 1;
            self.within_objective += u64::from(is_in_time);
        }
        match server.waiting.pop_front() {
            Some(next) => {
                let end = nanoseconds(now + server.jobs[next].work_s);
                self.completions.push(Reverse((end, at, next)));
            }
            None => server.busy_cores -= 1,
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut at = self.uniform();
        let class = CLASSES.iter().position(|class| {
            at -= class.share;
            at < 0.0
        });
        class.unwrap_or(0)
    }

    fn arrive(&mut self, now: f64) {
        let class = self.draw_class();
        let sidecar = self.rng.next_u64() as usize % self.views.len();
        let first = self.rng.next_u64() as usize % SERVER_COUNT;
        let offset = 1 + self.rng.next_u64() as usize % (SERVER_COUNT - 1);
        let second = (first + offset) % SERVER_COUNT;
        let first_cost = self.cost(sidecar, first, now);
        let second_cost = self.cost(sidecar, second, now);
        let at = if first_cost <= second_cost { first } else { second };
        let work_s = -self.uniform().ln() * CLASSES[class].mean_work_s;
        let view = &mut self.views[sidecar][at];
        view.in_flight += 1;
        view.sent.push_back(now);
        let server = &mut self.servers[at];
        server.jobs.push(Job { arrived_at: now, class, sidecar, work_s });
        server.queue += 1;
        server.history.push_back((now, server.queue));
        let n = server.jobs.len() - 1;
        if server.busy_cores < CORES {
            server.busy_cores += 1;
            self.completions.push(Reverse((nanoseconds(now + work_s), at, n)));
        } else {
            server.waiting.push_back(n);
        }
    }

    /// Returns the load that a sidecar expects at a server, compared by the first value, then by the second.
    fn cost(&mut self, sidecar: usize, at: usize, now: f64) -> (f64, f64) {
        let (server, view) = (&mut self.servers[at], &mut self.views[sidecar][at]);
        match self.knowledge {
            Knowledge::Exact => (server.queue as f64, 0.0),
            Knowledge::Own => {
                let weight = (-(now - view.report.0) / REPORT_DECAY_S).exp();
                let queue = weight * view.report.1 + (1.0 - weight) * ASSUMED_QUEUE;
                (view.in_flight as f64, queue)
            }
            Knowledge::Delayed(age) => {
                while view.sent.front().is_some_and(|sent| *sent < now - age) {
                    view.sent.pop_front();
                }
                while server.history.get(1).is_some_and(|(since, _)| *since <= now - age) {
                    server.history.pop_front();
                }
                let past_queue = server.history.front().map_or(0, |(_, queue)| *queue);
                ((past_queue + view.sent.len()) as f64, 0.0)
            }
        }
    }
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(5);
    println!("share of answers within the objective at a load of {LOAD}; mean of {seeds} seeds");
    let show = |name: &str, sidecars: usize, knowledge: Knowledge| {
        let shares = (0..seeds).map(|seed| Simulation::new(sidecars, knowledge, seed).run());
        let mean = shares.sum::<f64>() / seeds as f64;
        println!("{mean:6.3}  {sidecars:3} sidecars, {name}");
    };
    show("exact queue lengths", 96, Knowledge::Exact);
    for sidecars in [24, 48, 96] {
        show("own requests and load reports", sidecars, Knowledge::Own);
    }
    for ms in [25, 50, 100, 150, 200, 300, 600] {
        let name = format!("queue lengths {ms} ms ago and own requests since");
        show(&name, 96, Knowledge::Delayed(f64::from(ms) / 1e3));
    }
}
