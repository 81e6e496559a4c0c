//! A seeded simulation of members and origins whose messages are lost or delayed, and whose processes and disks fail.

use std::collections::BTreeMap;

use config_distribution::Generation;
use config_distribution::control::{ControlServer, Persistence, PersistentState};
use config_distribution::documents::Document;
use config_distribution::origin::{Origin, Phase};
use config_distribution::replica::Version;
use config_distribution::replication::{LogRequest, LogResponse};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::behavior_hash::{BehaviorHash, publish_outcome};
use super::{
    body, control_server, interest, key, ms, new_control_server, server_name, server_names,
};

/// Number of members.
pub const MEMBERS: usize = 5;
/// Number of origins.
const ORIGINS: usize = 2;
/// Maximum number of hosts of a member. The simulation has no hosts.
const MAX_HOSTS: usize = 10;
/// Number of steps with faults in a run.
const FAULTY_STEPS: usize = 3000;
/// Number of rounds without faults at the end of a run.
const QUIET_ROUNDS: usize = 200;

/// A request in flight to an origin.
struct RequestInFlight {
    member: usize,
    /// The sender's process, as the number of its restarts.
    process: u64,
    origin: usize,
    request: LogRequest,
}

/// A response in flight to a member. It is lost if the process has ended meanwhile.
struct ResponseInFlight {
    member: usize,
    process: u64,
    response: LogResponse,
}

/// The documents at one generation, as keys, generations and texts.
type Content = Vec<(String, Generation, String)>;

/// Members and origins with the network between them.
pub struct Simulation {
    rng: Pcg64Mcg,
    /// The members.
    pub members: Vec<ControlServer>,
    /// The state that each member has on disk; `None` after its disk was lost.
    disks: Vec<Option<PersistentState>>,
    /// The origins.
    pub origins: Vec<Origin>,
    requests: Vec<RequestInFlight>,
    responses: Vec<ResponseInFlight>,
    /// Number of restarts of each member.
    restarts: Vec<u64>,
    /// Source of unique numbers for published bodies and starts of origins.
    counter: u64,
    /// The time in milliseconds.
    now: u64,
    /// The content of each generation that any member has committed.
    committed: BTreeMap<Generation, Content>,
    /// The last change that an origin has reported as committed.
    pub acknowledged: Generation,
    /// The last committed generation of each member; 0 after its disk was lost.
    last_committed: Vec<Generation>,
    /// Hash over all messages, stored states and ordered changes.
    pub hash: BehaviorHash,
}

impl Simulation {
    /// Creates members and origins that start for the first time.
    pub fn new(seed: u64) -> Simulation {
        let member = |n| new_control_server(n, MEMBERS, MAX_HOSTS);
        let origin = |n| Origin::new(n as u8, 0, server_names(MEMBERS));
        Simulation {
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: (0..MEMBERS).map(member).collect(),
            disks: vec![Some(PersistentState::default()); MEMBERS],
            origins: (0..ORIGINS).map(origin).collect(),
            requests: Vec::new(),
            responses: Vec::new(),
            restarts: vec![0; MEMBERS],
            counter: 0,
            now: 0,
            committed: BTreeMap::new(),
            acknowledged: 0,
            last_committed: vec![0; MEMBERS],
            hash: BehaviorHash::default(),
        }
    }

    /// Runs a seed. At the end one origin is restarted and no message is lost any more: that origin has to lead, and to
    /// have all acknowledged changes.
    ///
    /// # Panics
    ///
    /// Panics if a committed change was lost, or differs between members.
    pub fn run(seed: u64) -> Simulation {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed);
        (0..FAULTY_STEPS).for_each(|_| simulation.step());
        simulation.requests.clear();
        simulation.responses.clear();
        simulation.origins[0] = Origin::new(0, u32::MAX, server_names(MEMBERS));
        let acknowledged = simulation.acknowledged;
        for _ in 0..QUIET_ROUNDS {
            simulation.quiet_round();
        }
        let origin = &simulation.origins[0];
        assert_eq!(*origin.phase(), Phase::Leading, "seed {seed}");
        let committed = origin.replica().committed();
        assert!(committed >= acknowledged, "seed {seed}: {acknowledged} is lost");
        simulation.acknowledged = acknowledged;
        simulation
    }

    fn quiet_round(&mut self) {
        self.now += 100;
        for m in 0..MEMBERS {
            (0..MEMBERS).for_each(|_| self.recover_random_member());
            self.exchange(m, 0, self.now);
            if matches!(self.origins[0].phase(), Phase::TakingOver(_)) {
                self.take_over(0);
            }
        }
        self.check();
    }

    /// Exchanges one request and its response without loss, at the time `now` in milliseconds.
    pub fn exchange(&mut self, member: usize, origin: usize, now: u64) {
        let request = self.members[member].log_request();
        self.origins[origin].receive(request.clone(), ms(now)).expect("a member");
        if let Some(response) = self.origins[origin].respond(&request) {
            self.members[member].apply(response);
        }
    }

    fn draw(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit as u64) as usize
    }

    /// Lets an origin take over a replica if it has to. The takeover fails at random.
    pub fn take_over(&mut self, origin: usize) {
        let member = match self.origins[origin].phase() {
            Phase::TakingOver(member) => member.clone(),
            _ => return,
        };
        let source = (0..MEMBERS).find(|m| server_name(*m) == member).expect("a member");
        if self.draw(4) == 0 {
            self.origins[origin].takeover_failed(&member);
        } else {
            let update = self.members[source].update_since(Version::default());
            self.origins[origin].take_over(&member, update);
        }
    }

    /// Simulates one random event.
    fn step(&mut self) {
        self.now += 10;
        match self.draw(100) {
            0..=39 => self.send_request(),
            40..=69 if !self.requests.is_empty() => self.deliver_request(),
            70..=89 if !self.responses.is_empty() => self.deliver_response(),
            90..=93 => self.publish(),
            94..=96 => (0..ORIGINS).for_each(|origin| self.take_over(origin)),
            97 => self.restart_member(),
            98 if self.draw(4) == 0 => self.restart_origin(),
            99 if self.draw(8) == 0 && self.all_members_vote() => self.lose_disk(),
            _ => {}
        }
        self.recover_random_member();
        self.check();
    }

    fn send_request(&mut self) {
        let (member, origin) = (self.draw(MEMBERS), self.draw(ORIGINS));
        let request = self.members[member].log_request();
        self.hash.add(&(self.now, member, origin, &request));
        let process = self.restarts[member];
        self.requests.push(RequestInFlight { member, process, origin, request });
    }

    /// Delivers or loses one of the requests in flight, in random order.
    fn deliver_request(&mut self) {
        let position = self.draw(self.requests.len());
        let in_flight = self.requests.swap_remove(position);
        if self.draw(10) == 0 {
            return;
        }
        let RequestInFlight { member, process, origin, request } = in_flight;
        self.origins[origin].receive(request.clone(), ms(self.now)).expect("a member");
        if let Some(response) = self.origins[origin].respond(&request) {
            self.hash.add(&(self.now, member, origin, &response));
            self.responses.push(ResponseInFlight { member, process, response });
        }
    }

    /// Delivers or loses one of the responses in flight, in random order.
    fn deliver_response(&mut self) {
        let position = self.draw(self.responses.len());
        let ResponseInFlight { member, process, response } = self.responses.swap_remove(position);
        if self.restarts[member] != process || self.draw(10) == 0 {
            return;
        }
        let persistence = self.members[member].apply(response);
        // The changes of a recovering member count as stored only once it may vote again.
        let is_recovering = self.members[member].promised_epoch().is_none();
        if persistence == Persistence::Required && !is_recovering {
            self.disks[member] = Some(self.members[member].state().clone());
            self.hash.add(&(self.now, member, &self.disks[member]));
        }
    }

    fn publish(&mut self) {
        let (origin, service) = (self.draw(ORIGINS), self.draw(3));
        self.counter += 1;
        let key = key(&format!("s{service}"));
        let result = self.origins[origin].publish(key, body(self.counter));
        self.hash.add(&(self.now, origin, publish_outcome(result)));
    }

    /// Crashes a member and restarts it with its disk.
    fn restart_member(&mut self) {
        let member = self.draw(MEMBERS);
        self.restarts[member] += 1;
        if self.disks[member].is_none() {
            // The member was still recovering.
            self.last_committed[member] = 0;
        }
        let (disk, incarnation) = (self.disks[member].clone(), self.restarts[member]);
        self.members[member] = control_server(member, MEMBERS, MAX_HOSTS, disk, incarnation);
    }

    fn restart_origin(&mut self) {
        let origin = self.draw(ORIGINS);
        self.counter += 1;
        let names = server_names(MEMBERS);
        self.origins[origin] = Origin::new(origin as u8, self.counter as u32, names);
    }

    fn all_members_vote(&self) -> bool {
        self.members.iter().all(|member| member.promised_epoch().is_some())
    }

    /// Restarts a member without its disk, so that it recovers from the others.
    fn lose_disk(&mut self) {
        let member = self.draw(MEMBERS);
        self.restarts[member] += 1;
        self.disks[member] = None;
        self.last_committed[member] = 0;
        let incarnation = self.restarts[member];
        self.members[member] = control_server(member, MEMBERS, MAX_HOSTS, None, incarnation);
    }

    /// Lets a random member request the promise of a random peer, if the member recovers.
    fn recover_random_member(&mut self) {
        let (member, peer) = (self.draw(MEMBERS), self.draw(MEMBERS));
        if member == peer || self.members[member].promised_epoch().is_some() {
            return;
        }
        let incarnation = self.members[member].incarnation();
        let name = server_name(member);
        let recorded = self.members[peer].record_peer_incarnation(&name, incarnation);
        let Some((promise, _)) = recorded else { return };
        self.disks[peer] = Some(self.members[peer].state().clone());
        let (epoch, incarnation) = (promise.promised_epoch, promise.incarnation);
        self.hash.add(&(self.now, member, peer, epoch, incarnation, &promise.incarnations));
        self.members[member].record_promise(&server_name(peer), &promise);
    }

    /// Checks that the committed content is the same on all members, and that the committed generation never decreases.
    fn check(&mut self) {
        for (m, member) in self.members.iter().enumerate() {
            let (name, replica) = (server_name(m), member.replica());
            let committed = replica.committed();
            assert!(
                committed >= self.last_committed[m],
                "{name}: the committed generation decreases to {committed}"
            );
            self.last_committed[m] = committed;
            // A replica with uncommitted revisions may lack the last committed text of a document for a while.
            if replica.version().generation > committed {
                continue;
            }
            let selection = replica.select(&interest(&["s0", "s1", "s2"], "a"), 0);
            let content: Content = selection.documents.into_iter().map(entry).collect();
            let known = self.committed.entry(committed).or_insert_with(|| content.clone());
            assert_eq!(*known, content, "{name}: generation {committed} has another content");
        }
        for origin in self.origins.iter().filter(|origin| origin.is_leading()) {
            self.acknowledged = self.acknowledged.max(origin.replica().committed());
        }
    }
}

fn entry(document: &Document) -> (String, Generation, String) {
    let text = document.body.as_ref().map_or("", |body| body.text()).to_owned();
    (document.key.to_string(), document.generation, text)
}
