//! The conditions that last while faults are active: the faults of servers, the state of links, the behaviour of
//! clients and of discovery, and the limits of descriptors.

use std::time::Duration;

use simnet::Link;

use super::Simulation;
use super::sidecars::SidecarProcess;
use crate::clients::ClientBehaviour;
use crate::discovery::DiscoveryMode;
use crate::scenario::FaultKind;
use crate::server::ServerFaults;

/// The smallest window of connections to a server in scenarios with long bodies, in bytes. With a window of a few
/// bytes, a long body would take minutes.
const MIN_WINDOW_FOR_LONG_BODIES: usize = 4096;

/// The links between a sidecar and a server.
#[derive(Clone, Debug, Default)]
struct ServerLinks {
    to_server: Link,
    from_server: Link,
}

impl ServerLinks {
    fn both(&mut self) -> [&mut Link; 2] {
        [&mut self.to_server, &mut self.from_server]
    }
}

/// The combined effect of the active faults.
#[derive(Debug)]
struct Conditions {
    /// The faults of each server.
    servers: Vec<ServerFaults>,
    /// The links of each server.
    links: Vec<ServerLinks>,
    clients: ClientBehaviour,
    discovery: DiscoveryMode,
    /// The delay of each answer of discovery.
    discovery_delay: Duration,
    /// The probability that a datagram between sidecars is lost.
    gossip_loss: f64,
    /// Whether each sidecar has no descriptors left.
    descriptors_exhausted: Vec<bool>,
}

impl Conditions {
    /// Returns the conditions without any fault.
    fn new(servers: usize, sidecars: usize) -> Conditions {
        Conditions {
            servers: vec![ServerFaults::default(); servers],
            links: vec![ServerLinks::default(); servers],
            clients: ClientBehaviour::default(),
            discovery: DiscoveryMode::Up,
            discovery_delay: Duration::ZERO,
            gossip_loss: 0.0,
            descriptors_exhausted: vec![false; sidecars],
        }
    }

    fn server(&mut self, index: usize) -> &mut ServerFaults {
        let index = index % self.servers.len();
        &mut self.servers[index]
    }

    fn links(&mut self, server: usize) -> &mut ServerLinks {
        let index = server % self.links.len();
        &mut self.links[index]
    }

    /// Adds an active fault.
    fn add(&mut self, kind: &FaultKind) {
        self.add_server_fault(kind);
        self.add_network_fault(kind);
        match kind {
            FaultKind::DiscoveryDown => self.discovery = DiscoveryMode::Down,
            FaultKind::DiscoverySilent => self.discovery = DiscoveryMode::Silent,
            FaultKind::DiscoveryTruncated => self.discovery = DiscoveryMode::Truncated,
            FaultKind::DiscoveryDelay { delay_ms } => {
                self.discovery_delay = Duration::from_millis(*delay_ms);
            }
            FaultKind::ClientsLeave { share } => self.clients.leave = *share,
            FaultKind::SlowRequests { share } => self.clients.slow_request = *share,
            FaultKind::DuplicateIds { share } => self.clients.duplicate_id = *share,
            FaultKind::MalformedRequests { share } => self.clients.malformed = *share,
            FaultKind::LongRequests { share } => self.clients.long_body = *share,
            FaultKind::LoadBurst { factor } => self.clients.load_factor = *factor,
            FaultKind::DescriptorsExhausted { sidecar } => {
                let index = sidecar % self.descriptors_exhausted.len();
                self.descriptors_exhausted[index] = true;
            }
            _ => {}
        }
    }

    fn add_server_fault(&mut self, kind: &FaultKind) {
        match *kind {
            FaultKind::SlowServer { server, factor } => {
                self.server(server).slowdown += factor - 1.0
            }
            FaultKind::Hang { server, share } => self.server(server).hang = share,
            FaultKind::ServerError { server, share } => self.server(server).error = share,
            FaultKind::ResetBeforeExecution { server, share } => {
                self.server(server).reset_before = share;
            }
            FaultKind::ResetAfterExecution { server, share } => {
                self.server(server).reset_after = share;
            }
            FaultKind::ResetWithinResponse { server, share } => {
                self.server(server).reset_within = share;
            }
            FaultKind::MalformedResponse { server, share } => self.server(server).malformed = share,
            FaultKind::TruncatedResponse { server, share } => self.server(server).truncated = share,
            FaultKind::WrongContentLength { server, share } => {
                self.server(server).wrong_length = share;
            }
            FaultKind::SurplusBytes { server, share } => self.server(server).surplus = share,
            FaultKind::CloseAfterResponse { server, share } => {
                self.server(server).close_after = share;
            }
            FaultKind::DelayedResponse { server, share, delay_ms } => {
                let faults = self.server(server);
                faults.delayed = share;
                faults.delay = Duration::from_millis(delay_ms);
            }
            FaultKind::DelayedReset { server, share, delay_ms } => {
                let faults = self.server(server);
                faults.delayed_reset = share;
                faults.reset_delay = Duration::from_millis(delay_ms);
            }
            FaultKind::LongResponses { server, share } => self.server(server).long = share,
            FaultKind::RejectUnprocessed { server, share } => self.server(server).reject = share,
            FaultKind::BrokenRejections { server, share } => {
                self.server(server).broken_rejection = share;
            }
            FaultKind::SlowResponses { server, share } => self.server(server).slow = share,
            FaultKind::SecondAnswers { server, share } => {
                self.server(server).second_answer = share;
            }
            _ => {}
        }
    }

    fn add_network_fault(&mut self, kind: &FaultKind) {
        match *kind {
            FaultKind::AddedLatency { server, added_us } => {
                for link in self.links(server).both() {
                    link.latency.start += Duration::from_micros(added_us);
                    link.latency.end += Duration::from_nanos(added_us * 1500);
                }
            }
            FaultKind::SegmentLoss { server, share } => {
                for link in self.links(server).both() {
                    link.segment_loss = share;
                }
            }
            FaultKind::PartialIo { server, share } => {
                for link in self.links(server).both() {
                    link.partial_io = share;
                }
            }
            FaultKind::Partition { server, to_server, from_server } => {
                let links = self.links(server);
                links.to_server.partitioned |= to_server;
                links.from_server.partitioned |= from_server;
            }
            FaultKind::RefuseConnections { server, share } => {
                self.links(server).to_server.syn_refused = share;
            }
            FaultKind::DropSyns { server, share } => {
                self.links(server).to_server.syn_dropped = share;
            }
            FaultKind::ResetOvertakes { server, share } => {
                self.links(server).from_server.reset_overtakes = share;
            }
            FaultKind::SmallWindow { server, bytes } => {
                self.links(server).to_server.window = bytes;
            }
            FaultKind::GossipLoss { share } => self.gossip_loss = share,
            _ => {}
        }
    }
}

impl Simulation<'_> {
    /// Applies the conditions of the active faults, and resets all others. `active` tells for each fault of the
    /// scenario whether it is active.
    pub(super) fn apply_conditions(&mut self, active: &[bool]) {
        let faults = &self.scenario.faults;
        let mut conditions = Conditions::new(self.servers.len(), self.sidecars.len());
        for (fault, _) in faults.iter().zip(active).filter(|(_, active)| **active) {
            conditions.add(&fault.kind);
        }
        if faults.iter().any(|fault| matches!(fault.kind, FaultKind::LongRequests { .. })) {
            for links in &mut conditions.links {
                let window = &mut links.to_server.window;
                *window = (*window).max(MIN_WINDOW_FOR_LONG_BODIES);
            }
        }
        for (server, faults) in self.servers.iter().zip(&conditions.servers) {
            server.set_faults(*faults);
        }
        for sidecar in &self.sidecars {
            self.apply_links(sidecar, &conditions);
            self.apply_descriptor_limit(sidecar, &conditions);
        }
        for (_, clients) in &self.clients {
            clients.set_behaviour(conditions.clients);
        }
        self.discovery.set_mode(self.world.now(), conditions.discovery);
        self.discovery.set_answer_delay(conditions.discovery_delay);
    }

    /// Sets the links between a sidecar and the servers, and to the other sidecars.
    fn apply_links(&self, sidecar: &SidecarProcess, conditions: &Conditions) {
        for (server, links) in self.servers.iter().zip(&conditions.links) {
            let (here, there) = (sidecar.host, server.host());
            self.world.configure_link(here, there, |link| link.clone_from(&links.to_server));
            self.world.configure_link(there, here, |link| link.clone_from(&links.from_server));
        }
        for other in self.sidecars.iter().filter(|other| other.index != sidecar.index) {
            self.world.configure_link(sidecar.host, other.host, |link| {
                link.datagram_loss = conditions.gossip_loss;
                link.datagram_duplication = conditions.gossip_loss / 2.0;
            });
        }
    }

    fn apply_descriptor_limit(&self, sidecar: &SidecarProcess, conditions: &Conditions) {
        let exhausted = conditions.descriptors_exhausted[sidecar.index];
        // One more than are open, so that the sidecar can replace a socket that it closes.
        let limit = match exhausted {
            true => self.world.open_sockets(sidecar.host) + 1,
            false => self.scenario.sockets,
        };
        self.world.set_socket_limit(sidecar.host, limit);
        let mut oracle = self.oracle.borrow_mut();
        oracle.set_short_of_descriptors(self.world.now(), sidecar.index, exhausted);
    }
}
