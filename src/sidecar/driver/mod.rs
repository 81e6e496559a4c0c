//! Connects the balancer with the sockets: what happens there goes in as events, and every action
//! that comes out is carried out here, in order.
//!
//! Nothing else in the sidecar decides about servers, retries or rejections.

mod actions;
mod attempts;
mod endpoint_changes;
mod endpoints;
mod in_flight;
mod requests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gossip::Event as GossipEvent;
use runtime::Runtime;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;

use super::config::{BorrowedText, EndpointList};
use super::discovery::{self, DiscoveryRequest};
use super::gossip::Membership;
use super::live::LiveConfig;
use super::peers::{self, Peers};
use super::status::Status;
use super::timers::Timers;
use super::upstream::{HealthCheckKind, Upstream};
use crate::api::{Event, ListKind, Micros, RequestId};
use crate::balancer::Balancer;
use crate::settings::{DedupScope, ReportDelivery, RetrySafety, Settings};
pub use endpoints::EndpointCounts;
use endpoints::EndpointTable;
use in_flight::InFlightRequest;
pub use in_flight::RequestOutcome;
pub use requests::{RequestHandle, RequestInfo};

/// The connections to other sidecars, if there are any.
pub struct PeerServices<P: Runtime> {
    /// Sends and receives datagrams.
    pub datagrams: Option<Rc<Peers<P>>>,
    /// What the sidecars know together.
    pub gossip: Option<Rc<Membership<P>>>,
}

/// What events change.
struct State {
    balancer: Balancer,
    requests: FxHashMap<RequestId, InFlightRequest>,
    last_request_id: u64,
    endpoints: EndpointTable,
}

/// The balancer's clock, which never steps back.
///
/// It is Unix time, as discovery gives the start of a server's process in that.
struct BalancerClock {
    started_at: Micros,
    start: Instant,
}

impl BalancerClock {
    fn start<P: Runtime>() -> BalancerClock {
        BalancerClock { started_at: P::unix_time().as_micros() as Micros, start: P::now() }
    }

    fn now<P: Runtime>(&self) -> Micros {
        self.started_at + P::elapsed_since(self.start).as_micros() as Micros
    }
}

/// Owns the balancer and carries out its actions.
pub struct Driver<P: Runtime> {
    state: RefCell<State>,
    timers: Timers<P>,
    clock: BalancerClock,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    upstream: Rc<Upstream<P>>,
    discovery: mpsc::UnboundedSender<DiscoveryRequest>,
    peer_services: PeerServices<P>,
    health_check: HealthCheckKind,
    /// How long servers recognize repeats of a class's requests with idempotency keys, by class.
    idempotency_windows: Vec<Option<Duration>>,
    /// Whether every server recognizes repeats of a class's requests, by class.
    deduplicated_everywhere: Vec<bool>,
}

impl<P: Runtime> Driver<P> {
    /// A driver without requests or servers.
    pub fn new(
        settings: Settings,
        seed: u64,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        upstream: Rc<Upstream<P>>,
        discovery: mpsc::UnboundedSender<DiscoveryRequest>,
        peer_services: PeerServices<P>,
    ) -> Rc<Driver<P>> {
        let clock = BalancerClock::start::<P>();
        let health_check = match settings.load_reporting.delivery {
            ReportDelivery::Disabled => HealthCheckKind::Liveness,
            _ => HealthCheckKind::LoadReport,
        };
        let windows = settings.classes.iter().map(|class| {
            (class.retry_safety == RetrySafety::IdempotencyKey)
                .then(|| Duration::from_micros(class.retry_window()))
        });
        let idempotency_windows = windows.collect();
        let deduplicated_everywhere =
            settings.classes.iter().map(|class| class.dedup_scope == DedupScope::All).collect();
        let state = RefCell::new(State {
            balancer: Balancer::new(settings, seed, clock.started_at),
            requests: FxHashMap::default(),
            last_request_id: 0,
            endpoints: EndpointTable::default(),
        });
        Rc::new(Driver {
            state,
            timers: Timers::default(),
            clock,
            live,
            status,
            upstream,
            discovery,
            peer_services,
            health_check,
            idempotency_windows,
            deduplicated_everywhere,
        })
    }

    /// Passes the balancer's timers on as they expire; never ends.
    pub async fn run_timers(self: Rc<Driver<P>>) {
        loop {
            let token = self.timers.next_expired().await;
            self.handle_event(Event::Timer { token });
        }
    }

    /// Puts settings in force that differ only in what can change while running, and the tenants' quotas
    /// in them.
    pub fn reconfigure(&self, settings: Settings, quotas: gossip::TenantQuotas) {
        if let Some(gossip) = &self.peer_services.gossip {
            gossip.reconfigure(quotas);
        }
        self.state.borrow_mut().balancer.reconfigure(settings);
    }

    /// Asks discovery for the complete list.
    pub fn fetch_list(&self) {
        // Discovery runs as long as the driver does.
        let _ = self.discovery.send(DiscoveryRequest::Fetch);
    }

    /// What the sidecars know together, if this one takes part.
    pub fn gossip(&self) -> Option<&Membership<P>> {
        self.peer_services.gossip.as_deref()
    }

    fn handle_event(self: &Rc<Driver<P>>, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.clock.now::<P>();
        self.state.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    /// Counts what happened, for the other sidecars.
    fn record(&self, event: GossipEvent) {
        if let Some(gossip) = &self.peer_services.gossip {
            gossip.record(event);
        }
    }
}

impl<P: Runtime> discovery::EndpointListener for Rc<Driver<P>> {
    fn on_list(&self, kind: ListKind, list: &EndpointList<BorrowedText<'_>>) {
        self.update_endpoints(kind, list);
    }

    fn max_servers(&self) -> usize {
        self.live.max_servers()
    }

    fn on_list_too_long(&self) {
        self.status.count_oversized_list();
    }

    fn on_failure(&self) {
        self.handle_event(Event::EndpointUpdate { kind: ListKind::Failed, entries: &[] });
    }
}

impl<P: Runtime> peers::DatagramHandler for Rc<Driver<P>> {
    fn handle(&self, from: u32, data: &[u8]) {
        let gossip = self.peer_services.gossip.as_ref();
        if !gossip.is_some_and(|gossip| gossip.receive(from, data)) {
            self.handle_event(Event::PeerMessage { from, data });
        }
    }
}
