//! The way of calls: from one sidecar to one server, or to discovery. What passes is delayed or held, in order;
//! a connection's end and its reset pass like everything else.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rustix::net::listen;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::links::{Draws, Part};
use crate::network::Network;

/// Connections that one relay holds.
const MOST: usize = 256;
/// Pieces on their way on one connection, each way, and the longest.
const PIECES: usize = 64;
const PIECE: usize = 16 << 10;
/// Connections that may wait to be taken.
const BACKLOG: i32 = 1024;
/// A pause after what failed for a moment.
const AGAIN: Duration = Duration::from_millis(20);
/// So soon a connection on loopback comes up, or there is no more place in the backlog.
const FILLED: Duration = Duration::from_millis(30);
/// The most connections that fill a backlog of none; the system grants one or two.
const FILLERS: usize = 4;

/// A relay. It ends with its handle.
pub struct Relay {
    /// Where the sidecar calls.
    pub at: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts one from a sidecar to a part that is wherever the network has it, on the present runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(network: Network, from: Part, to: Part) -> io::Result<Relay> {
        Relay::serve(network, from, to, None).await
    }

    /// The same to one that is always there.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start_to(
        network: Network,
        from: Part,
        to: Part,
        at: SocketAddr,
    ) -> io::Result<Relay> {
        Relay::serve(network, from, to, Some(at)).await
    }

    async fn serve(
        network: Network,
        from: Part,
        to: Part,
        target: Option<SocketAddr>,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let at = listener.local_addr()?;
        let relay = Arc::new(Ends { network, from, to, target, places: Semaphore::new(MOST) });
        Ok(Relay { at, task: tokio::spawn(relay.serve(listener, at)) })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Ends {
    network: Network,
    from: Part,
    to: Part,
    /// Where that is; none: where the network has it.
    target: Option<SocketAddr>,
    places: Semaphore,
}

impl Ends {
    async fn serve(self: Arc<Ends>, listener: TcpListener, at: SocketAddr) {
        let mut listener = Some(listener);
        let mut fillers: Vec<TcpStream> = Vec::new();
        // Our own connections that are still to be taken out of the backlog.
        let mut spent: Vec<SocketAddr> = Vec::new();
        let mut pipes = JoinSet::new();
        let mut changes = self.network.changes();
        loop {
            let (dead, parted) = {
                let links = changes.borrow_and_update();
                (links.is_dead(self.to), links.parted(self.from, self.to))
            };
            if dead && !parted {
                // Refused; and a listener that is closed resets what waits in its backlog.
                listener = None;
                fillers.clear();
            } else if listener.is_none() {
                listener = again(at);
            }
            if let Some(listener) = &listener {
                if parted && fillers.is_empty() {
                    fill(listener, at, &mut fillers).await;
                } else if !parted && !fillers.is_empty() {
                    let _ = listen(listener, BACKLOG);
                    spent = fillers.iter().filter_map(|f| f.local_addr().ok()).collect();
                    fillers.clear();
                }
            }
            let next = async {
                match &listener {
                    Some(listener) if !parted => Some(listener.accept().await),
                    // The port was somebody else's for a moment.
                    None if !dead => {
                        sleep(AGAIN).await;
                        None
                    }
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                taken = next => match taken {
                    Some(Ok((socket, from))) if !spent.contains(&from) => {
                        pipes.spawn(self.clone().pipe(socket));
                    }
                    Some(Ok(_)) | None => {}
                    Some(Err(_)) => sleep(AGAIN).await,
                },
                Some(_) = pipes.join_next(), if !pipes.is_empty() => {}
            }
        }
    }

    /// Passes on what comes on one connection, until it has ended both links.
    async fn pipe(self: Arc<Ends>, near: TcpStream) {
        let reset = |socket: &TcpStream| {
            let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
        };
        let Ok(_place) = self.places.try_acquire() else { return reset(&near) };
        let Some(at) = self.target.or_else(|| self.network.at(self.to)) else {
            return reset(&near);
        };
        let Ok(far) = TcpStream::connect(at).await else { return reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, mut near_out), (far_in, mut far_out)) =
            (near.into_split(), far.into_split());
        let whole = async {
            let there = self.direction(self.from, self.to, near_in, &mut far_out);
            let back = self.direction(self.to, self.from, far_in, &mut near_out);
            tokio::try_join!(there, back)
        };
        // A reset ends both links, at both ends.
        if whole.await.is_err() {
            for out in [near_out, far_out] {
                reset(out.as_ref());
                out.forget();
            }
        }
    }

    /// Passes on one way, to its end or until either side is reset.
    async fn direction(
        &self,
        from: Part,
        to: Part,
        input: OwnedReadHalf,
        out: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let (pieces, coming) = mpsc::channel(PIECES);
        let draws = Draws::new(self.network.seed(), from, to);
        let taken = async {
            self.take(from, to, input, pieces, draws).await;
            Ok(())
        };
        tokio::try_join!(taken, self.bring(from, to, coming, out)).map(drop)
    }

    async fn take(
        &self,
        from: Part,
        to: Part,
        mut input: OwnedReadHalf,
        pieces: mpsc::Sender<(Instant, Piece)>,
        mut draws: Draws,
    ) {
        let mut last = Instant::now();
        loop {
            let mut data = vec![0; PIECE];
            let read = tokio::select! {
                read = input.read(&mut data) => read,
                // Nobody takes it any more.
                () = pieces.closed() => return,
            };
            let piece = match read {
                Ok(0) => Piece::End,
                Ok(n) => {
                    data.truncate(n);
                    Piece::Data(data)
                }
                Err(_) => Piece::Reset,
            };
            let bytes = if let Piece::Data(data) = &piece { data.len() } else { 0 };
            let shape = self.network.links(|links| links.shape(from, to));
            // What comes later never arrives sooner.
            last = last.max(Instant::now() + draws.piece(&shape, self.network.elapsed(), bytes));
            let over = !matches!(piece, Piece::Data(_));
            if pieces.send((last, piece)).await.is_err() || over {
                return;
            }
        }
    }

    async fn bring(
        &self,
        from: Part,
        to: Part,
        mut coming: mpsc::Receiver<(Instant, Piece)>,
        out: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        while let Some((due, piece)) = coming.recv().await {
            sleep_until(due).await;
            self.network.until(|links| !links.shape(from, to).cut).await;
            match &piece {
                Piece::Data(data) => out.write_all(data).await?,
                Piece::End => out.shutdown().await?,
                Piece::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
        Ok(())
    }
}

enum Piece {
    Data(Vec<u8>),
    End,
    Reset,
}

/// Listens again where a listener was.
fn again(at: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(at).ok()?;
    socket.listen(BACKLOG.unsigned_abs()).ok()
}

/// Takes the backlog's places, so that no connection comes up: the system drops what asks for one, as a cut way
/// would (listen(2)).
async fn fill(listener: &TcpListener, at: SocketAddr, fillers: &mut Vec<TcpStream>) {
    let _ = listen(listener, 0);
    while fillers.len() < FILLERS {
        match timeout(FILLED, TcpStream::connect(at)).await {
            Ok(Ok(filler)) => fillers.push(filler),
            _ => return,
        }
    }
}
