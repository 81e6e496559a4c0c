//! The sidecar on real sockets: clients on one side, servers on the other, and discovery and the
//! other sidecars beside them. All decisions are [`crate::decide`]'s; `driver` is the only module
//! here that speaks with it.

pub mod budget;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod framing;
mod ids;
pub mod ingress;
pub mod peers;
pub mod reload;
pub mod shutdown;
pub mod stream;
pub mod timers;
pub mod upstream;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

use crate::api::ListKind;
use config::Config;

/// Connections that may wait to be accepted: a crowd comes within a second.
const BACKLOG: i32 = 4096;
/// The longest answer takes so small a part of the memory. Servers have been seen to send 400 kB,
/// more than the protocol's 64 KiB; an answer is kept whole, so that one that breaks off is none.
const LONGEST_ANSWER: usize = 64;

/// What the sidecar is told from outside while it runs.
pub struct Told<S, R> {
    /// Done when the sidecar is to end.
    pub stop: S,
    /// A word for each time that the configuration is to be read again.
    pub reload: mpsc::Receiver<()>,
    /// Reads the configuration again.
    pub read: R,
}

/// Runs the sidecar until it is told to stop and all that was taken is answered. An error names
/// the address that could not be had.
pub async fn run<S, R>(config: Config, told: Told<S, R>) -> Result<(), String>
where
    S: Future<Output = ()>,
    R: Fn() -> Result<Config, String>,
{
    let listener = listen(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let peers = match config.peer_listen {
        Some(at) => {
            let socket = UdpSocket::bind(at).await;
            let socket = socket.map_err(|e| format!("peer_listen: {at}: {e}"))?;
            Some(peers::Peers::new(socket, config.peers, config.peers_all))
        }
        None => None,
    };
    let names = Rc::new(config.names);
    let sockets = Rc::new(budget::Sockets::new(config.sockets));
    let bytes = budget::Bytes::new(config.memory);
    let longest = (config.memory / LONGEST_ANSWER).max(framing::LONGEST_BODY);
    let limits = &config.settings.limits;
    let aims = config.settings.classes.iter().map(|c| c.aim);
    let times = upstream::Times {
        connect: Duration::from_micros(limits.connect_timeout),
        idle: Duration::from_micros(limits.conn_idle),
        gap: Duration::from_micros(aims.min().unwrap_or_default()),
    };
    let upstream =
        upstream::Upstream::new(sockets.clone(), bytes.clone(), names.clone(), times, longest);
    let how = config.settings.discovery;
    let deadlines = config.settings.classes.iter().map(|c| c.deadline);
    let longest_deadline = Duration::from_micros(deadlines.max().unwrap_or_default());
    let (to_discovery, calls) = mpsc::unbounded_channel();
    let driver = driver::Driver::new(
        config.settings,
        config.seed,
        names.clone(),
        upstream,
        to_discovery,
        peers.clone(),
    );
    let ingress = ingress::Ingress::new(driver.clone(), names, sockets, bytes);

    let tried = Rc::new(Notify::new());
    let version = config.known.as_ref().map_or(0, |known| known.seq);
    if let Some(known) = &config.known {
        driver.servers(ListKind::Remembered, known);
    }
    let (moves, at) = watch::channel(config.discovery);
    let discovery = discovery::Discovery::new(at, how, version, tried.clone());
    spawn_local(discovery.run(driver.clone(), calls));
    spawn_local(driver.clone().ring());
    if let Some(peers) = peers {
        spawn_local(peers.listen(driver));
    }
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!("{} listens on {at}", config.name);
    let accepting = ingress.clone().accept(listener);
    let Told { stop, reload, read } = told;
    tokio::pin!(accepting, stop);
    tokio::select! {
        () = accepting.as_mut() => {}
        () = first_try(&ingress, &tried) => {}
        () = reload::run(reload, read, moves) => {}
        () = stop => {}
    }
    tokio::select! {
        () = accepting => {}
        () = shutdown::drain(ingress, longest_deadline) => {}
    }
    Ok(())
}

/// Marks the ingress ready when discovery has first been tried; never ends.
async fn first_try(ingress: &ingress::Ingress, tried: &Notify) {
    tried.notified().await;
    ingress.discovery_tried();
    std::future::pending().await
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
