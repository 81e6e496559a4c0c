//! The start of a sidecar, in steps, and its life up to the end of its graceful shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, Runtime, TokioRuntime};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot};

use super::admin::Admin;
use super::admin::state_file::StateFile;
use super::budget::{BodyBudget, SocketBudget};
use super::config::{Config, EndpointList};
use super::discovery::DiscoveryRequest;
use super::driver::{Driver, PeerServices};
use super::gossip::{Membership, MembershipError};
use super::ingress::Ingress;
use super::inherited_listener::{InheritedListenerError, LISTEN_BACKLOG, inherited_listener};
use super::live::LiveConfig;
use super::peers::Peers;
use super::status::Status;
use super::upstream::Upstream;
use super::{Sockets, notify, shutdown};
use crate::api::ListKind;
use crate::settings::{DiscoveryMode, Settings};

/// How often it is checked whether servers are known by now.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a sidecar cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listener that it was passed cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// Clients cannot connect at the configured address.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Other sidecars cannot reach the configured address.
    #[error("peer_listen: {address}: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Operators cannot connect at the configured address.
    #[error("admin_addr: {address}: {source}")]
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The listener has no address.
    #[error("listen: {0}")]
    LocalAddress(#[source] io::Error),
    /// The configuration of the tier cannot be used.
    #[error(transparent)]
    Tier(#[from] MembershipError),
}

impl Sockets<TokioRuntime> {
    /// Binds the sockets that a configuration asks for, or takes over the inherited listener.
    ///
    /// # Errors
    ///
    /// The address that cannot be had.
    pub(super) fn bind(config: &Config) -> Result<Sockets<TokioRuntime>, StartError> {
        let inherited = inherited_listener(config.listen)?;
        let shared = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener),
            None => bind_tcp(config.listen),
        };
        let address = config.listen;
        let listener = listener.map_err(|source| StartError::Listen { address, source })?;
        let bind_peers = |address| {
            bind_udp(address, shared).map_err(|source| StartError::PeerListen { address, source })
        };
        let bind_admin = |address| {
            bind_tcp(address).map_err(|source| StartError::AdminListen { address, source })
        };
        let peers = config.peer_listen.map(bind_peers).transpose()?;
        let admin = config.admin.map(bind_admin).transpose()?;
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        let admin_state_file = folder
            .filter(|_| admin.is_some())
            .map(|folder| StateFile::new(folder.as_ref(), &config.name));
        Ok(Sockets { listener, listener_shared: shared, peers, admin, admin_state_file })
    }
}

fn bind_tcp(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Beside a successor on the same listener, both have this address for a while, and the system
/// delivers datagrams to the later one. Without one, an address in use is an error.
fn bind_udp(address: SocketAddr, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_address(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// What the tasks of a sidecar share.
pub(super) struct Components<P: Runtime> {
    pub live: Rc<LiveConfig>,
    pub status: Rc<Status>,
    pub socket_budget: Rc<SocketBudget>,
    pub body_budget: BodyBudget,
    upstream: Rc<Upstream<P>>,
    peers: Option<Rc<Peers<P>>>,
    tier: Option<Rc<Membership<P>>>,
}

impl<P: Runtime> Components<P> {
    /// The components that a configuration asks for. `peers` receives datagrams of other sidecars.
    ///
    /// # Errors
    ///
    /// When the configuration of the tier cannot be used.
    pub fn new(config: &Config, peers: Option<P::Udp>) -> Result<Components<P>, StartError> {
        let peers = peers.map(|s| Peers::<P>::new(s, config.peers.clone(), config.peers_multicast));
        let live = LiveConfig::new(config);
        let status = Rc::new(Status::default());
        let socket_budget = Rc::new(SocketBudget::new(config.max_sockets));
        let body_budget = BodyBudget::new(config.memory_bytes);
        let upstream = Upstream::<P>::new(
            socket_budget.clone(),
            body_budget.clone(),
            live.clone(),
            status.clone(),
        );
        let tier = Membership::<P>::new(config, peers.as_ref())?;
        Ok(Components { live, status, socket_budget, body_budget, upstream, peers, tier })
    }

    /// The driver, which makes its calls of discovery through `to_discovery`.
    pub fn driver(
        &self,
        settings: Settings,
        seed: u64,
        to_discovery: mpsc::UnboundedSender<DiscoveryRequest>,
    ) -> Rc<Driver<P>> {
        Driver::new(
            settings,
            seed,
            self.live.clone(),
            self.status.clone(),
            self.upstream.clone(),
            to_discovery,
            PeerServices { datagrams: self.peers.clone(), gossip: self.tier.clone() },
        )
    }

    /// The client-facing side of an instance of this name.
    pub fn ingress(&self, driver: Rc<Driver<P>>, name: String) -> Rc<Ingress<P>> {
        Ingress::new(
            driver,
            name,
            self.live.clone(),
            self.status.clone(),
            self.socket_budget.clone(),
            self.body_budget.clone(),
        )
    }

    /// Has operators served on `listener`.
    pub fn start_admin(
        &self,
        listener: P::Listener,
        driver: &Rc<Driver<P>>,
        ingress: &Rc<Ingress<P>>,
        state_file: Option<StateFile>,
    ) -> Rc<Admin<P>> {
        let (live, status) = (self.live.clone(), self.status.clone());
        let admin = Admin::new(driver.clone(), ingress.clone(), live, status, state_file);
        P::spawn(admin.clone().listen(listener));
        P::spawn(admin.clone().watch());
        P::spawn(shutdown::close_drained_clients(ingress.clone()));
        admin
    }

    /// Starts the driver's timers, and what is exchanged with other sidecars.
    pub fn start_background_tasks(&self, driver: &Rc<Driver<P>>) {
        P::spawn(driver.clone().run_timers());
        if let Some(peers) = &self.peers {
            P::spawn(peers.clone().listen(driver.clone()));
        }
        if let Some(tier) = &self.tier {
            P::spawn(tier.clone().run());
        }
    }

    /// Has the state of the sidecar reported to its supervisor, if it has one.
    pub fn start_status_reports(&self, ingress: &Rc<Ingress<P>>) {
        if let Some(supervisor) = instance_status::SupervisorSocket::from_env() {
            let (ingress, status) = (ingress.clone(), self.status.clone());
            P::spawn(async move {
                notify::run::<P>(supervisor, || ingress.state(), &status.changed).await;
            });
        }
    }
}

/// Gives the driver the list that an earlier process stored.
pub(super) fn restore_server_list<P: Runtime>(
    driver: &Rc<Driver<P>>,
    known: Option<&EndpointList>,
    how: DiscoveryMode,
) {
    match known {
        Some(known) => driver.update_endpoints(ListKind::Cached, known),
        // Where discovery is polled, the balancer first polls after what it remembers; one that
        // remembers nothing would never poll, and refuse everything.
        None if how == DiscoveryMode::OnRequest => {
            driver.update_endpoints(ListKind::Cached, &EndpointList::default());
            driver.fetch_list();
        }
        None => {}
    }
}

/// Logs the address at which clients connect.
///
/// # Errors
///
/// When the listener has none.
pub(super) fn log_listening<P: Runtime>(listener: &P::Listener) -> Result<(), StartError> {
    let address = listener.local_addr().map_err(StartError::LocalAddress)?;
    tracing::info!(%address, "listening");
    Ok(())
}

/// How a sidecar ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    /// Nobody takes its place: clients may still connect for a while.
    Drain,
    /// A successor has the listener.
    HandOver,
}

/// A sidecar that is about to accept clients.
pub(super) struct Serving<P: Runtime> {
    pub ingress: Rc<Ingress<P>>,
    pub admin: Option<Rc<Admin<P>>>,
    pub live: Rc<LiveConfig>,
    pub listener: P::Listener,
    /// A predecessor accepts on the same listener.
    pub listener_shared: bool,
    /// Notified once discovery has been attempted.
    pub discovery_attempted: Rc<Notify>,
}

impl<P: Runtime> Serving<P> {
    /// Accepts and serves clients until `stop` or `hand_over` completes, and then up to the end of
    /// the graceful shutdown. `reloading` goes on until then: a list from a newly configured
    /// discovery matters as long as requests are sent.
    pub async fn run(
        self,
        reloading: impl Future<Output = ()>,
        stop: impl Future<Output = ()>,
        hand_over: impl Future<Output = ()>,
    ) {
        let Serving { ingress, admin, live, listener, listener_shared, discovery_attempted } = self;
        let (report_serving, can_serve) = oneshot::channel();
        let mut accepting = Box::pin(accept(ingress.clone(), listener, listener_shared, can_serve));
        let mut reloading = Box::pin(reloading);
        tokio::pin!(stop, hand_over);
        let shutdown = tokio::select! {
            biased;
            () = accepting.as_mut() => Shutdown::Drain,
            () = become_ready(&ingress, admin.as_ref(), &discovery_attempted, report_serving) => {
                Shutdown::Drain
            }
            () = reloading.as_mut() => Shutdown::Drain,
            () = stop.as_mut() => Shutdown::Drain,
            () = hand_over => Shutdown::HandOver,
        };
        let shutdown = match shutdown {
            // What connects from now on is the successor's, and would be kept from it.
            Shutdown::Drain
                if listener_shared && admin.is_some_and(|admin| admin.is_succeeded()) =>
            {
                Shutdown::HandOver
            }
            shutdown => shutdown,
        };
        let all_requests_due = live.all_requests_due(P::now());
        match shutdown {
            Shutdown::Drain => tokio::select! {
                biased;
                () = accepting => {}
                () = reloading => {}
                () = shutdown::drain(ingress, all_requests_due) => {}
            },
            Shutdown::HandOver => {
                drop(accepting);
                tokio::select! {
                    biased;
                    () = reloading => {}
                    () = shutdown::hand_over(ingress, all_requests_due) => {}
                }
            }
        }
    }
}

/// Accepts clients; beside a predecessor, once `can_serve` says that requests can be served. Never ends.
///
/// While a predecessor serves on the same listener, what this process accepted before any server is
/// known would be refused for nothing. Without one, it waits in the listener's queue.
async fn accept<P: Runtime>(
    ingress: Rc<Ingress<P>>,
    listener: P::Listener,
    shared: bool,
    can_serve: oneshot::Receiver<()>,
) {
    if shared {
        tokio::select! {
            biased;
            // The sender lives as long as the sidecar.
            _ = can_serve => {}
            () = ingress.accepting_stopped() => {}
        }
    }
    ingress.accept(listener).await;
    std::future::pending().await
}

/// Marks the ingress ready when discovery has first been attempted, and reports when servers are
/// known; never ends.
async fn become_ready<P: Runtime>(
    ingress: &Ingress<P>,
    admin: Option<&Rc<Admin<P>>>,
    discovery_attempted: &Notify,
    report_serving: oneshot::Sender<()>,
) {
    discovery_attempted.notified().await;
    ingress.discovery_attempted();
    while !ingress.can_serve() {
        P::sleep(READINESS_POLL_INTERVAL).await;
    }
    if let Some(admin) = admin {
        admin.announce_serving().await;
    }
    // Nobody waits for it where the listener is not shared.
    let _ = report_serving.send(());
    std::future::pending().await
}
