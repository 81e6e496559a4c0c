//! The way of notes between sidecars: one relay socket for each, and one that stands for all. Who sends is
//! known by where a note comes from, whom it is for by where it came to; it leaves through its sender's own relay
//! socket, so that every sidecar knows every other by the same address.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::links::{Draws, Part};
use crate::network::Network;

/// Notes on their way at the most; more are lost.
const MOST: usize = 65_536;
/// Longer ones are cut off by the reading, and so lost.
const LONGEST: usize = 2048;

/// What passed so far, over all links.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Passed {
    /// Notes sent; one to all counts once for each that it is for.
    pub sent: u64,
    /// Notes that arrived.
    pub arrived: u64,
    /// Bytes that arrived.
    pub bytes: u64,
    /// Notes lost because too many were on their way, or a socket was full.
    pub overflowed: u64,
}

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    arrived: AtomicU64,
    bytes: AtomicU64,
    overflowed: AtomicU64,
}

/// The relay. It ends with its handle.
pub struct Notes {
    /// Every sidecar's address, as all others know it.
    pub peers: Vec<SocketAddr>,
    /// What is sent there is for all others.
    pub all: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    network: Network,
    sockets: Vec<UdpSocket>,
    /// Where each sidecar takes notes in, and who it is.
    ends: Vec<SocketAddr>,
    names: HashMap<SocketAddr, u16>,
    draws: Mutex<HashMap<(u16, u16), Draws>>,
    waiting: Mutex<BinaryHeap<Reverse<Waiting>>>,
    changed: Notify,
    next: AtomicU64,
    counts: Counts,
}

/// By when it is due, then by when it was sent.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    due: Instant,
    number: u64,
    from: u16,
    to: u16,
    data: Vec<u8>,
}

impl Notes {
    /// Starts the relay between sidecars that take notes in at these addresses, on the present runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(network: Network, ends: Vec<SocketAddr>) -> io::Result<Notes> {
        let mut sockets = Vec::new();
        for _ in &ends {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
        }
        let all_socket = UdpSocket::bind("127.0.0.1:0").await?;
        let peers = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let all = all_socket.local_addr()?;
        let names = ends.iter().copied().zip(0..).collect();
        let shared = Arc::new(Shared {
            network,
            sockets,
            ends,
            names,
            draws: Mutex::default(),
            waiting: Mutex::default(),
            changed: Notify::new(),
            next: AtomicU64::new(0),
            counts: Counts::default(),
        });
        let mut tasks = vec![tokio::spawn(shared.clone().deliver())];
        for to in 0..shared.ends.len() {
            tasks.push(tokio::spawn(shared.clone().take(to)));
        }
        let of_all = shared.clone();
        tasks.push(tokio::spawn(async move {
            let mut buf = [0; LONGEST];
            loop {
                let Ok((n, from)) = all_socket.recv_from(&mut buf).await else { continue };
                if let Some(&from) = of_all.names.get(&from) {
                    let others = (0..of_all.ends.len() as u16).filter(|to| *to != from);
                    others.for_each(|to| of_all.send(from, to, &buf[..n]));
                }
            }
        }));
        Ok(Notes { peers, all, shared, tasks })
    }

    /// What passed so far.
    pub fn passed(&self) -> Passed {
        let counts = &self.shared.counts;
        Passed {
            sent: counts.sent.load(Relaxed),
            arrived: counts.arrived.load(Relaxed),
            bytes: counts.bytes.load(Relaxed),
            overflowed: counts.overflowed.load(Relaxed),
        }
    }
}

impl Drop for Notes {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// Takes in what is for one sidecar. Who is none of them is passed over.
    async fn take(self: Arc<Shared>, to: usize) {
        let mut buf = [0; LONGEST];
        loop {
            // An error tells of a note that was sent, and that no reader waited for.
            let Ok((n, from)) = self.sockets[to].recv_from(&mut buf).await else { continue };
            if let Some(&from) = self.names.get(&from) {
                self.send(from, to as u16, &buf[..n]);
            }
        }
    }

    fn send(&self, from: u16, to: u16, data: &[u8]) {
        self.counts.sent.fetch_add(1, Relaxed);
        let (a, b) = (Part::Sidecar(from), Part::Sidecar(to));
        let shape = self.network.links(|links| links.shape(a, b));
        let now = Instant::now();
        let arrivals = {
            let mut draws = self.draws.lock().unwrap_or_else(PoisonError::into_inner);
            let draws =
                draws.entry((from, to)).or_insert_with(|| Draws::new(self.network.seed(), a, b));
            draws.datagram(&shape, self.network.elapsed(), data.len())
        };
        for arrival in arrivals {
            let mut data = data.to_vec();
            if let Some((at, by)) = arrival.spoilt {
                data[at] ^= by;
            }
            if arrival.after.is_zero() {
                self.hand_over(from, to, &data);
                continue;
            }
            let number = self.next.fetch_add(1, Relaxed);
            let note = Waiting { due: now + arrival.after, number, from, to, data };
            let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
            if waiting.len() >= MOST {
                self.counts.overflowed.fetch_add(1, Relaxed);
                continue;
            }
            waiting.push(Reverse(note));
            drop(waiting);
            self.changed.notify_one();
        }
    }

    fn hand_over(&self, from: u16, to: u16, data: &[u8]) {
        let socket = &self.sockets[usize::from(from)];
        match socket.try_send_to(data, self.ends[usize::from(to)]) {
            Ok(n) => {
                self.counts.arrived.fetch_add(1, Relaxed);
                self.counts.bytes.fetch_add(n as u64, Relaxed);
            }
            Err(_) => drop(self.counts.overflowed.fetch_add(1, Relaxed)),
        }
    }

    /// Hands over what is due.
    async fn deliver(self: Arc<Shared>) {
        loop {
            let changed = self.changed.notified();
            let due = loop {
                let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
                match waiting.peek() {
                    Some(Reverse(note)) if note.due <= Instant::now() => {
                        if let Some(Reverse(note)) = waiting.pop() {
                            drop(waiting);
                            self.hand_over(note.from, note.to, &note.data);
                        }
                    }
                    next => break next.map(|Reverse(note)| note.due),
                }
            };
            match due {
                Some(due) => {
                    let _ = tokio::time::timeout_at(due, changed).await;
                }
                None => changed.await,
            }
        }
    }
}
