//! Connects the balancer with I/O: passes events to the balancer and executes its actions in order.
//!
//! All decisions about servers, retries and rejections are made by the balancer.

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

/// Communication with other sidecars, if it is configured.
pub struct PeerServices<P: Runtime> {
    /// The datagram transport, or `None` without peers.
    pub datagrams: Option<Rc<Peers<P>>>,
    /// Gossip with the other sidecars, or `None` if this sidecar takes no part.
    pub gossip: Option<Rc<Membership<P>>>,
}

/// The mutable state of the driver.
struct State {
    balancer: Balancer,
    requests: FxHashMap<RequestId, InFlightRequest>,
    last_request_id: u64,
    endpoints: EndpointTable,
}

/// The balancer's clock: Unix time at the start, advanced by a monotonic clock so that it never steps back.
///
/// Discovery gives the start time of a server's process in Unix time, so the balancer uses the same time scale.
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

/// Owns the balancer and executes its actions.
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
    /// By class, the time for which servers deduplicate requests with idempotency keys; `None` for classes without them.
    idempotency_windows: Vec<Option<Duration>>,
    /// By class, whether every server recognizes repeats of requests that other servers have received.
    deduplicated_everywhere: Vec<bool>,
}

impl<P: Runtime> Driver<P> {
    /// Creates a driver without requests or servers.
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

    /// Passes expired timers to the balancer. Never returns.
    pub async fn run_timers(self: Rc<Driver<P>>) {
        loop {
            let token = self.timers.next_expired().await;
            self.handle_event(Event::Timer { token });
        }
    }

    /// Applies new settings, which may differ only in those that can change at run time, and the tenants' quotas.
    pub fn reconfigure(&self, settings: Settings, quotas: gossip::TenantQuotas) {
        if let Some(gossip) = &self.peer_services.gossip {
            gossip.reconfigure(quotas);
        }
        self.state.borrow_mut().balancer.reconfigure(settings);
    }

    /// Asks discovery for the complete endpoint list.
    pub fn fetch_list(&self) {
        // Discovery runs as long as the driver does.
        let _ = self.discovery.send(DiscoveryRequest::Fetch);
    }

    /// Returns the gossip membership, or `None` if this sidecar takes no part in gossip.
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

    /// Records an event in the counts that are gossiped to the other sidecars.
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
