//! The startup of a sidecar, and its lifecycle up to the end of its graceful shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, ProcessMemory, Runtime, TokioRuntime};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot};

use super::adjustable_semaphore::ShortageHook;
use super::admin::Admin;
use super::admin::state_file::StateFile;
use super::budget::SocketBudget;
use super::config::{Config, EndpointList};
use super::discovery::DiscoveryRequest;
use super::driver::{Driver, PeerServices};
use super::gossip::{Membership, MembershipError};
use super::ingress::Ingress;
use super::inherited_listener::{InheritedListenerError, LISTEN_BACKLOG, inherited_listener};
use super::live::LiveConfig;
use super::memory::MessageMemory;
use super::memory_monitor::{MemoryMonitor, MonitoredMemory};
use super::peers::Peers;
use super::request_ids::{RequestIds, SharedRequestIdLog};
use super::status::Status;
use super::upstream::Upstream;
use super::{Sockets, notify, shutdown};
use crate::api::ListKind;
use crate::settings::{DiscoveryMode, Settings};

/// Interval at which a starting sidecar checks whether endpoints are known.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error returned when a sidecar cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The inherited listener cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The listener for clients cannot be bound.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The socket for datagrams of other sidecars cannot be bound.
    #[error("peer_listen: {address}: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The admin listener cannot be bound.
    #[error("admin_addr: {address}: {source}")]
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address of the listener cannot be determined.
    #[error("listen: {0}")]
    LocalAddress(#[source] io::Error),
    /// The gossip configuration is invalid.
    #[error(transparent)]
    Tier(#[from] MembershipError),
}

impl Sockets<TokioRuntime> {
    /// Binds the configured sockets, or takes over the inherited listener.
    ///
    /// # Errors
    ///
    /// When the inherited listener cannot be used or a socket cannot be bound. The error contains the address.
    pub(super) fn bind(config: &Config) -> Result<Sockets<TokioRuntime>, StartError> {
        let inherited = inherited_listener(config.listen)?;
        let listener_shared = inherited.is_some();
        let listener = match inherited {
            Some(listener) => TcpListener::from_std(listener),
            None => bind_tcp(config.listen),
        };
        let address = config.listen;
        let listener = listener.map_err(|source| StartError::Listen { address, source })?;
        let bind_peers = |address| {
            bind_udp(address, listener_shared)
                .map_err(|source| StartError::PeerListen { address, source })
        };
        let bind_admin = |address| {
            bind_tcp(address).map_err(|source| StartError::AdminListen { address, source })
        };
        let peers = config.peer_listen.map(bind_peers).transpose()?;
        let admin = config.admin.map(bind_admin).transpose()?;
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        let folder = folder.as_deref().map(Path::new);
        let admin_state_file =
            folder.filter(|_| admin.is_some()).map(|folder| StateFile::new(folder, &config.name));
        let request_id_log = folder
            .filter(|_| listener_shared)
            .map(|folder| SharedRequestIdLog::new(folder, &config.name));
        Ok(Sockets { listener, listener_shared, peers, admin, admin_state_file, request_id_log })
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

/// Binds the socket for datagrams of other sidecars. With a shared listener, this process and its predecessor are bound
/// to this address at the same time for a while, and the system delivers datagrams to the one that bound it last.
/// Without a shared listener, an address in use is an error.
fn bind_udp(address: SocketAddr, listener_shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_address(listener_shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// The state that the tasks of a sidecar share.
pub(super) struct Components<P: Runtime> {
    pub live: Rc<LiveConfig>,
    pub status: Rc<Status>,
    pub socket_budget: Rc<SocketBudget>,
    pub message_memory: Rc<MessageMemory>,
    /// Told when a budget has less than is asked for.
    shortage: Rc<ShortageHook>,
    upstream: Rc<Upstream<P>>,
    peers: Option<Rc<Peers<P>>>,
    tier: Option<Rc<Membership<P>>>,
}

impl<P: Runtime> Components<P> {
    /// Creates the configured components. `peers` receives datagrams of other sidecars.
    ///
    /// # Errors
    ///
    /// When the gossip configuration is invalid.
    pub fn new(config: &Config, peers: Option<P::Udp>) -> Result<Components<P>, StartError> {
        let peers = peers.map(|s| Peers::<P>::new(s, config.peers.clone(), config.peers_multicast));
        let live = LiveConfig::new(config);
        let status = Rc::new(Status::default());
        let limits = config.resource_limits();
        let shortage = Rc::default();
        let socket_budget = Rc::new(SocketBudget::new(limits, &shortage));
        let message_memory = MessageMemory::new(limits, &shortage);
        let upstream = Upstream::<P>::new(
            socket_budget.clone(),
            message_memory.clone(),
            live.clone(),
            status.clone(),
        );
        let tier = Membership::<P>::new(config, peers.as_ref())?;
        Ok(Components {
            live,
            status,
            socket_budget,
            message_memory,
            shortage,
            upstream,
            peers,
            tier,
        })
    }

    /// Starts to keep the process within its memory limit. Returns `None` if its memory cannot be determined.
    pub fn start_memory_monitor(
        &self,
        ingress: &Rc<Ingress<P>>,
        process: Rc<dyn ProcessMemory>,
    ) -> Option<Rc<MemoryMonitor<P>>> {
        MemoryMonitor::start(MonitoredMemory {
            process,
            shortage: self.shortage.clone(),
            socket_budget: self.socket_budget.clone(),
            message_memory: self.message_memory.clone(),
            ingress: ingress.clone(),
            upstream: self.upstream.clone(),
            status: self.status.clone(),
        })
    }

    /// Creates the driver, which sends its requests for discovery to `to_discovery`.
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

    /// Creates the client-facing side of the instance called `name`.
    pub fn ingress(
        &self,
        driver: Rc<Driver<P>>,
        name: String,
        request_ids: RequestIds<P>,
    ) -> Rc<Ingress<P>> {
        Ingress::new(
            driver,
            name,
            self.live.clone(),
            self.status.clone(),
            self.socket_budget.clone(),
            self.message_memory.clone(),
            request_ids,
        )
    }

    /// Starts the admin listener.
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

    /// Starts the tasks for the driver's timers and for datagrams and gossip of other sidecars.
    pub fn start_background_tasks(&self, driver: &Rc<Driver<P>>) {
        P::spawn(driver.clone().run_timers());
        if let Some(peers) = &self.peers {
            P::spawn(peers.clone().listen(driver.clone()));
        }
        if let Some(tier) = &self.tier {
            P::spawn(tier.clone().run());
        }
    }

    /// Starts status reports to the supervisor, if there is one.
    pub fn start_status_reports(&self, ingress: &Rc<Ingress<P>>) {
        if let Some(supervisor) = instance_status::SupervisorSocket::from_env() {
            let (ingress, status) = (ingress.clone(), self.status.clone());
            P::spawn(async move {
                notify::run::<P>(supervisor, || ingress.state(), &status.changed).await;
            });
        }
    }
}

/// Passes the endpoint list that was stored by an earlier process to the driver.
pub(super) fn restore_endpoint_list<P: Runtime>(
    driver: &Rc<Driver<P>>,
    cached: Option<&EndpointList>,
    mode: DiscoveryMode,
) {
    match cached {
        Some(cached) => driver.update_endpoints(ListKind::Cached, cached),
        // With polled discovery, the balancer starts polling after it has got the cached list. Without any list it
        // would never poll, and would reject all requests.
        None if mode == DiscoveryMode::OnRequest => {
            driver.update_endpoints(ListKind::Cached, &EndpointList::default());
            driver.fetch_list();
        }
        None => {}
    }
}

/// Logs the address of the listener for clients.
///
/// # Errors
///
/// When the address cannot be determined.
pub(super) fn log_listening<P: Runtime>(listener: &P::Listener) -> Result<(), StartError> {
    let address = listener.local_addr().map_err(StartError::LocalAddress)?;
    tracing::info!(%address, "listening");
    Ok(())
}

/// The kind of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shutdown {
    /// There is no successor, so clients may still connect for a while.
    Drain,
    /// A successor accepts on the same listener.
    HandOver,
}

/// A sidecar that is ready to accept clients.
pub(super) struct Serving<P: Runtime> {
    pub ingress: Rc<Ingress<P>>,
    pub admin: Option<Rc<Admin<P>>>,
    pub live: Rc<LiveConfig>,
    pub listener: P::Listener,
    /// The listener is inherited, and a predecessor may accept on it until this sidecar can serve.
    pub listener_shared: bool,
    /// Notified once the first call of discovery has completed or failed.
    pub discovery_attempted: Rc<Notify>,
}

impl<P: Runtime> Serving<P> {
    /// Accepts and serves clients until `stop` or `hand_over` completes, then shuts down gracefully. `reloading` is
    /// polled until the end of the shutdown, because an endpoint list from a newly configured discovery is needed as
    /// long as requests are sent.
    pub async fn run(
        self,
        reloading: impl Future<Output = ()>,
        stop: impl Future<Output = ()>,
        hand_over: impl Future<Output = ()>,
    ) {
        let Serving { ingress, admin, live, listener, listener_shared, discovery_attempted } = self;
        let (serving_sender, can_serve) = oneshot::channel();
        let mut accepting = Box::pin(accept(ingress.clone(), listener, listener_shared, can_serve));
        let mut reloading = Box::pin(reloading);
        tokio::pin!(stop, hand_over);
        let shutdown = tokio::select! {
            biased;
            () = accepting.as_mut() => Shutdown::Drain,
            () = become_ready(&ingress, admin.as_ref(), &discovery_attempted, serving_sender) => {
                Shutdown::Drain
            }
            () = reloading.as_mut() => Shutdown::Drain,
            () = stop.as_mut() => Shutdown::Drain,
            () = hand_over => Shutdown::HandOver,
        };
        let shutdown = match shutdown {
            // New connections belong to the successor, so this process must not accept them.
            Shutdown::Drain
                if listener_shared && admin.is_some_and(|admin| admin.has_successor()) =>
            {
                Shutdown::HandOver
            }
            shutdown => shutdown,
        };
        let last_request_deadline = live.last_request_deadline(P::now());
        match shutdown {
            Shutdown::Drain => tokio::select! {
                biased;
                () = accepting => {}
                () = reloading => {}
                () = shutdown::drain(ingress, last_request_deadline) => {}
            },
            Shutdown::HandOver => {
                drop(accepting);
                tokio::select! {
                    biased;
                    () = reloading => {}
                    () = shutdown::hand_over(ingress, last_request_deadline) => {}
                }
            }
        }
    }
}

/// Accepts clients; never returns. With a shared listener, accepting starts once `can_serve` reports that requests can
/// be served.
///
/// While a predecessor serves on the same listener, requests that this process accepted before any endpoint is known
/// would be rejected needlessly. If no predecessor is left, connections wait in the listener's queue meanwhile.
async fn accept<P: Runtime>(
    ingress: Rc<Ingress<P>>,
    listener: P::Listener,
    listener_shared: bool,
    can_serve: oneshot::Receiver<()>,
) {
    if listener_shared {
        ingress.note_backlog(P::now());
        tokio::select! {
            biased;
            // The sender is not dropped before the sidecar ends.
            _ = can_serve => {}
            () = ingress.accepting_stopped() => {}
        }
    }
    ingress.accept(listener).await;
    std::future::pending().await
}

/// Tells the ingress that discovery has been attempted for the first time, then waits until endpoints are known and
/// reports that on `serving_sender`. Never returns.
async fn become_ready<P: Runtime>(
    ingress: &Ingress<P>,
    admin: Option<&Rc<Admin<P>>>,
    discovery_attempted: &Notify,
    serving_sender: oneshot::Sender<()>,
) {
    discovery_attempted.notified().await;
    ingress.discovery_attempted();
    while !ingress.can_serve() {
        P::sleep(READINESS_POLL_INTERVAL).await;
    }
    if let Some(admin) = admin {
        admin.announce_serving().await;
    }
    // Fails if the listener is not shared, since nothing receives it then.
    let _ = serving_sender.send(());
    std::future::pending().await
}
