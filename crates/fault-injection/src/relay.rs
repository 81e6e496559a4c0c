//! A relay for TCP connections from one sidecar to one server or to discovery.
//!
//! Data is delayed or held back, always in order. The end and the reset of a connection are forwarded like data.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fakes::framing::MessageFramer;
use rustix::net::listen;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::links::{LinkSampler, Node};
use crate::network::Network;

/// The maximum number of connections of one relay.
const MAX_CONNECTIONS: usize = 256;
/// The maximum number of segments in flight in one direction of a connection.
const MAX_SEGMENTS: usize = 64;
/// The maximum length of a segment in bytes.
const MAX_SEGMENT_BYTES: usize = 16 << 10;
/// The listener's backlog.
const BACKLOG: i32 = 1024;
/// The pause before the retry of a transient failure.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The time within which a connection on loopback is established, unless the backlog is full.
const BACKLOG_FULL_AFTER: Duration = Duration::from_millis(30);
/// The maximum number of connections that fill a backlog of zero. The system allows one or two.
const MAX_FILLERS: usize = 4;

/// A running relay. It stops when dropped.
pub struct Relay {
    /// The address that the sidecar connects to.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay between two nodes on the current runtime. Each connection goes to the address that the network
    /// has for `to` at that time.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(network: Network, from: Node, to: Node) -> io::Result<Relay> {
        Relay::start_with_target(network, from, to, None).await
    }

    /// Like [`start`](Self::start), with a fixed target address.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start_to(
        network: Network,
        from: Node,
        to: Node,
        target: SocketAddr,
    ) -> io::Result<Relay> {
        Relay::start_with_target(network, from, to, Some(target)).await
    }

    async fn start_with_target(
        network: Network,
        from: Node,
        to: Node,
        target: Option<SocketAddr>,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let connections = Semaphore::new(MAX_CONNECTIONS);
        let forwarder = Arc::new(Forwarder { network, from, to, target, connections });
        Ok(Relay { address, task: tokio::spawn(forwarder.serve(listener, address)) })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Forwarder {
    network: Network,
    from: Node,
    to: Node,
    /// The fixed address of `to`. If `None`, the network's address is used.
    target: Option<SocketAddr>,
    connections: Semaphore,
}

/// The listening socket of a relay, and the means to refuse connections or to leave connection attempts unanswered.
struct Gate {
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Holds the port while there is no listener: connections are refused, and no other process gets the port.
    refusing: Option<TcpSocket>,
    /// The relay's own connections that fill the backlog.
    fillers: Vec<TcpStream>,
    /// The addresses of earlier fillers, whose connections have yet to be accepted and ignored.
    former_fillers: Vec<SocketAddr>,
}

impl Gate {
    /// Applies the state of the links: refuses connections while the target is `down`, and leaves connection attempts
    /// unanswered during a partition.
    async fn apply(&mut self, down: bool, partitioned: bool) {
        if down && !partitioned {
            // Closing the listener refuses new connections and resets those in its backlog.
            self.listener = None;
            self.fillers.clear();
            self.refusing = self.refusing.take().or_else(|| bind(self.address));
        } else if self.listener.is_none() {
            let socket = self.refusing.take().or_else(|| bind(self.address));
            self.listener = socket.and_then(listen_on);
        }
        let Some(listener) = &self.listener else { return };
        if partitioned && self.fillers.is_empty() {
            fill_backlog(listener, self.address, &mut self.fillers).await;
        } else if !partitioned && !self.fillers.is_empty() {
            let _ = listen(listener, BACKLOG);
            let addresses = self.fillers.iter().filter_map(|f| f.local_addr().ok());
            self.former_fillers = addresses.collect();
            self.fillers.clear();
        }
    }

    /// Accepts the next connection. Returns `None` when it is time to try to listen again.
    async fn accept(
        &self,
        down: bool,
        partitioned: bool,
    ) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        match &self.listener {
            Some(listener) if !partitioned => Some(listener.accept().await),
            // Another process holds the port, so listening has failed.
            None if !down => {
                sleep(RETRY_PAUSE).await;
                None
            }
            _ => std::future::pending().await,
        }
    }
}

impl Forwarder {
    async fn serve(self: Arc<Forwarder>, listener: TcpListener, address: SocketAddr) {
        let (fillers, former_fillers) = (Vec::new(), Vec::new());
        let (listener, refusing) = (Some(listener), None);
        let mut gate = Gate { address, listener, refusing, fillers, former_fillers };
        let mut connections = JoinSet::new();
        let mut changes = self.network.subscribe();
        loop {
            let (down, partitioned) = {
                let links = changes.borrow_and_update();
                (links.is_down(self.to), links.is_partitioned(self.from, self.to))
            };
            gate.apply(down, partitioned).await;
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                accepted = gate.accept(down, partitioned) => match accepted {
                    Some(Ok((socket, from))) if !gate.former_fillers.contains(&from) => {
                        connections.spawn(self.clone().forward(socket));
                    }
                    Some(Ok(_)) | None => {}
                    Some(Err(_)) => sleep(RETRY_PAUSE).await,
                },
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    /// Forwards one connection until both directions have ended.
    async fn forward(self: Arc<Forwarder>, downstream: TcpStream) {
        let reset = |socket: &TcpStream| {
            let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
        };
        let Ok(_permit) = self.connections.try_acquire() else { return reset(&downstream) };
        let Some(target) = self.target.or_else(|| self.network.address(self.to)) else {
            return reset(&downstream);
        };
        let Ok(upstream) = TcpStream::connect(target).await else { return reset(&downstream) };
        let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
        let (downstream_in, mut downstream_out) = downstream.into_split();
        let (upstream_in, mut upstream_out) = upstream.into_split();
        let both = async {
            let requests = self.direction(self.from, self.to, downstream_in, &mut upstream_out);
            let answers = self.direction(self.to, self.from, upstream_in, &mut downstream_out);
            tokio::try_join!(requests, answers)
        };
        // A reset ends both directions on both sides.
        if both.await.is_err() {
            for out in [downstream_out, upstream_out] {
                reset(out.as_ref());
                out.forget();
            }
        }
    }

    /// Forwards one direction to its end, or until either side is reset.
    async fn direction(
        &self,
        from: Node,
        to: Node,
        input: OwnedReadHalf,
        output: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let (segments, received) = mpsc::channel(MAX_SEGMENTS);
        let sampler = LinkSampler::new(self.network.seed(), from, to);
        let read = async {
            self.read(from, to, input, segments, sampler).await;
            Ok(())
        };
        tokio::try_join!(read, self.write(from, to, received, output)).map(drop)
    }

    async fn read(
        &self,
        from: Node,
        to: Node,
        mut input: OwnedReadHalf,
        segments: mpsc::Sender<Segment>,
        mut sampler: LinkSampler,
    ) {
        let mut due = Instant::now();
        let mut messages = MessageFramer::default();
        loop {
            let mut data = vec![0; MAX_SEGMENT_BYTES];
            let read = tokio::select! {
                read = input.read(&mut data) => read,
                // The other side has been reset.
                () = segments.closed() => return,
            };
            let content = match read {
                Ok(0) => Content::End,
                Ok(n) => {
                    data.truncate(n);
                    self.watch(from, to, &mut messages, &data);
                    Content::Data(data)
                }
                Err(_) => Content::Reset,
            };
            let bytes = if let Content::Data(data) = &content { data.len() } else { 0 };
            let impairment = self.network.links(|links| links.impairment(from, to));
            let delay = sampler.segment_delay(&impairment, self.network.elapsed(), bytes);
            // A segment never arrives before the one that was sent before it.
            due = due.max(Instant::now() + delay);
            let ended = !matches!(content, Content::Data(_));
            if segments.send(Segment { due, content }).await.is_err() || ended {
                return;
            }
        }
    }

    /// Passes data from a sidecar to a server to the drain watch.
    fn watch(&self, from: Node, to: Node, requests: &mut MessageFramer, data: &[u8]) {
        if let (Node::Sidecar(sidecar), Node::Server(server)) = (from, to)
            && let Some(watch) = self.network.drain_watch()
        {
            watch.on_data(sidecar, server, requests, data, std::time::Instant::now());
        }
    }

    async fn write(
        &self,
        from: Node,
        to: Node,
        mut segments: mpsc::Receiver<Segment>,
        output: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        while let Some(Segment { due, content }) = segments.recv().await {
            sleep_until(due).await;
            self.network.wait_until(|links| !links.impairment(from, to).cut).await;
            match &content {
                Content::Data(data) => output.write_all(data).await?,
                Content::End => output.shutdown().await?,
                Content::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(())
    }
}

/// A part of one direction of a connection, with its time of arrival.
struct Segment {
    due: Instant,
    content: Content,
}

enum Content {
    Data(Vec<u8>),
    End,
    Reset,
}

/// Binds a socket to an address whose listener was closed. The socket does not listen, and no other socket can be bound
/// to the address.
fn bind(address: SocketAddr) -> Option<TcpSocket> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    // Connections of the former listener may still use the port, so binding requires SO_REUSEADDR. It is cleared
    // afterwards, because it would let other processes bind the port as well.
    socket.set_reuseaddr(false).ok()?;
    Some(socket)
}

fn listen_on(socket: TcpSocket) -> Option<TcpListener> {
    socket.set_reuseaddr(true).ok()?;
    socket.listen(BACKLOG.unsigned_abs()).ok()
}

/// Fills the backlog, so that no connection is established: the system drops connection requests to a full backlog
/// (listen(2)), as a cut link would.
async fn fill_backlog(listener: &TcpListener, address: SocketAddr, fillers: &mut Vec<TcpStream>) {
    let _ = listen(listener, 0);
    while fillers.len() < MAX_FILLERS {
        match timeout(BACKLOG_FULL_AFTER, TcpStream::connect(address)).await {
            Ok(Ok(filler)) => fillers.push(filler),
            _ => return,
        }
    }
}
