//! The sidecar on real sockets: clients on one side, servers on the other, and discovery and the
//! other sidecars beside them. All decisions are [`crate::decide`]'s; `driver` is the only module
//! here that speaks with it.

pub mod admin;
pub mod budget;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod framing;
mod handed;
mod ids;
pub mod ingress;
pub mod live;
pub mod notify;
pub mod peers;
pub mod relay;
pub mod reload;
pub mod shutdown;
pub mod status;
pub mod tier;
pub mod timers;
pub mod upstream;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, Platform, Tokio};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::api::ListKind;
use crate::settings::Discovery;
use config::Config;

/// Connections that may wait to be accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// Between two looks whether servers are known by now.
const UNREADY: Duration = Duration::from_millis(20);

/// What controls the sidecar from outside while it runs.
pub struct Control<S, H, R> {
    /// Done when the sidecar is to end.
    pub stop: S,
    /// Done when a successor on the same listener takes what comes from now on.
    pub hand_over: H,
    /// A message for each time that the configuration is to be read again.
    pub reload: mpsc::Receiver<()>,
    /// Reads the configuration again.
    pub read: R,
}

/// How the sidecar comes to its end.
enum End {
    /// Nobody takes its place: clients may still come for a while.
    Stop,
    /// A successor has the listener.
    HandOver,
}

/// The sockets that a sidecar is started with.
pub struct Sockets<P: Platform> {
    /// Where clients connect.
    pub listener: P::Listener,
    /// Somebody before this one accepts there too, until this one can serve.
    pub shared: bool,
    /// Where datagrams of other sidecars arrive, if they may come.
    pub peers: Option<P::Udp>,
    /// Where operators call, if they may.
    pub admin: Option<P::Listener>,
    /// Where the operators' orders stand, for this process and those before and after it.
    pub record: Option<admin::record::Record>,
}

/// Runs the sidecar on the real system until it is told to stop and all that was taken is answered.
///
/// # Errors
///
/// The address that could not be had.
pub async fn run<S, H, R>(config: Config, control: Control<S, H, R>) -> Result<(), String>
where
    S: Future<Output = ()>,
    H: Future<Output = ()>,
    R: Fn() -> Result<Config, String>,
{
    let handed = handed::listener(config.listen)?;
    let shared = handed.is_some();
    let listener = match handed {
        Some(listener) => TcpListener::from_std(listener),
        None => listen(config.listen),
    };
    let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let peers = config
        .peer_listen
        .map(|at| datagrams(at, shared).map_err(|e| format!("peer_listen: {at}: {e}")));
    let admin = config.admin.map(|at| listen(at).map_err(|e| format!("admin_addr: {at}: {e}")));
    let (peers, admin) = (peers.transpose()?, admin.transpose()?);
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    let record = folder
        .filter(|_| admin.is_some())
        .map(|folder| admin::record::Record::new(folder.as_ref(), &config.name));
    let sockets = Sockets::<Tokio> { listener, shared, peers, admin, record };
    serve(config, sockets, control).await
}

/// Runs the sidecar on the sockets that it is given.
///
/// # Errors
///
/// When its listener has no address.
pub async fn serve<P, S, H, R>(
    config: Config,
    given: Sockets<P>,
    control: Control<S, H, R>,
) -> Result<(), String>
where
    P: Platform,
    S: Future<Output = ()>,
    H: Future<Output = ()>,
    R: Fn() -> Result<Config, String>,
{
    let Sockets { listener, shared, peers, admin, record } = given;
    let peers = peers.map(|s| peers::Peers::<P>::new(s, config.peers.clone(), config.peers_all));
    let live = live::Live::new(&config);
    let status = Rc::new(status::Status::default());
    let sockets = Rc::new(budget::Sockets::new(config.sockets));
    let bytes = budget::Bytes::new(config.memory);
    let upstream =
        upstream::Upstream::<P>::new(sockets.clone(), bytes.clone(), live.clone(), status.clone());
    let how = config.settings.discovery;
    let grace = Duration::from_micros(config.settings.rules.stop_sending_within);
    let (to_discovery, calls) = mpsc::unbounded_channel();
    let tier = tier::Shared::<P>::new(&config, peers.as_ref())?;
    let driver = driver::Driver::new(
        config.settings,
        config.seed,
        live.clone(),
        status.clone(),
        upstream,
        to_discovery,
        driver::Others { peers: peers.clone(), tier: tier.clone() },
    );
    let ingress = ingress::Ingress::new(
        driver.clone(),
        config.name.clone(),
        live.clone(),
        status.clone(),
        sockets.clone(),
        bytes.clone(),
    );

    let admin = admin.map(|listener| {
        let (live, status) = (live.clone(), status.clone());
        let admin = admin::Admin::new(driver.clone(), ingress.clone(), live, status, record);
        P::spawn(admin.clone().listen(listener));
        P::spawn(admin.clone().watch());
        P::spawn(shutdown::send_away(ingress.clone()));
        admin
    });

    let tried = Rc::new(Notify::new());
    let version = config.known.as_ref().map_or(0, |known| known.seq);
    match &config.known {
        Some(known) => driver.servers(ListKind::Remembered, known),
        // Danger: where discovery is asked, the module asks first after what it remembers; one that
        // remembers nothing would never ask, and refuse everything.
        None if how == Discovery::Asked => {
            driver.servers(ListKind::Remembered, &config::List::default());
            driver.fetch();
        }
        None => {}
    }
    let (moves, at) = watch::channel(config.discovery);
    let discovery = discovery::Discovery::<P>::new(at, how, grace, version, tried.clone());
    P::spawn(discovery.run(driver.clone(), calls));
    P::spawn(driver.clone().ring());
    if let Some(peers) = peers {
        P::spawn(peers.listen(driver.clone()));
    }
    if let Some(tier) = tier {
        P::spawn(tier.run());
    }
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!(address = %at, "listening");
    if let Some(supervisor) = instance_status::Supervisor::from_env() {
        let (ingress, status) = (ingress.clone(), status.clone());
        P::spawn(async move {
            notify::run::<P>(supervisor, || ingress.state(), &status.changed).await;
        });
    }
    let (began, begun) = oneshot::channel();
    let accepting = {
        let ingress = ingress.clone();
        async move {
            // Danger: while a predecessor serves on the same listener, what came here before any
            // server is known would be refused for nothing. Alone, it waits in the backlog.
            if shared {
                let _ = begun.await;
            }
            ingress.accept(listener).await;
        }
    };
    let targets = reload::Targets {
        discovery: moves,
        live: live.clone(),
        driver,
        sockets,
        bytes,
        status: status.clone(),
        fixed: config.fixed,
    };
    let Control { stop, hand_over, reload, read } = control;
    let mut accepting = Box::pin(accepting);
    let mut reloading = Box::pin(reload::run(reload, read, targets));
    tokio::pin!(stop, hand_over);
    let end = tokio::select! {
        biased;
        () = accepting.as_mut() => End::Stop,
        () = first_try(&ingress, admin.as_deref(), &tried, began) => End::Stop,
        () = reloading.as_mut() => End::Stop,
        () = stop.as_mut() => End::Stop,
        () = hand_over => End::HandOver,
    };
    let end = match end {
        // Danger: what comes from now on is the successor's, and would be kept from it.
        End::Stop if shared && admin.is_some_and(|admin| admin.is_succeeded()) => End::HandOver,
        end => end,
    };
    let all_due = live.all_due(P::now());
    // Danger: without the reload, a list that a new discovery tells during the end would stay unknown,
    // while requests are still sent.
    match end {
        End::Stop => tokio::select! {
            biased;
            () = accepting => {}
            () = reloading => {}
            () = shutdown::drain(ingress, all_due) => {}
        },
        End::HandOver => {
            drop(accepting);
            tokio::select! {
                biased;
                () = reloading => {}
                () = shutdown::hand_over(ingress, all_due) => {}
            }
        }
    }
    status.changed.notify_one();
    Ok(())
}

/// Marks the ingress ready when discovery has first been tried, and says when servers are known;
/// never ends.
async fn first_try<P: Platform>(
    ingress: &ingress::Ingress<P>,
    admin: Option<&admin::Admin<P>>,
    tried: &Notify,
    began: oneshot::Sender<()>,
) {
    tried.notified().await;
    ingress.discovery_tried();
    while !ingress.serves() {
        P::sleep(UNREADY).await;
    }
    if let Some(admin) = admin {
        admin.serves().await;
    }
    let _ = began.send(());
    std::future::pending().await
}

/// Danger: beside a successor on the same listener, both have this address for a while; the system
/// gives datagrams to the later one. Alone, an address that somebody else has is an error.
fn datagrams(at: SocketAddr, shared: bool) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_address(shared)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    UdpSocket::from_std(socket.into())
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
