//! A relay for gossip datagrams between sidecars.
//!
//! It has one socket for each sidecar, and one for datagrams to all of them. The source address identifies the sender
//! of a datagram, and the socket that it arrives at identifies the receiver. The datagram is forwarded from the
//! sender's relay socket, so that every sidecar sees every other one at a single address.

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

use crate::links::{Delivery, LinkSampler, Node};
use crate::network::Network;

/// The maximum number of delayed datagrams at a time. Further ones are dropped.
const MAX_DELAYED: usize = 65_536;
/// The maximum length of a datagram in bytes. A longer one would be forwarded truncated; gossip messages are shorter.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The datagram counts of all links since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DatagramCounts {
    /// Datagrams sent. A datagram to all sidecars counts once for each receiver.
    pub sent: u64,
    /// Datagrams delivered.
    #[serde(rename = "arrived")]
    pub delivered: u64,
    /// Bytes delivered.
    pub bytes: u64,
    /// Datagrams dropped because too many were delayed or a socket buffer was full.
    pub overflowed: u64,
}

#[derive(Default)]
struct AtomicCounts {
    sent: AtomicU64,
    delivered: AtomicU64,
    bytes: AtomicU64,
    overflowed: AtomicU64,
}

/// A running relay. It stops when dropped.
pub struct GossipRelay {
    /// The address of each sidecar as the others see it.
    pub peers: Vec<SocketAddr>,
    /// The address for datagrams to all other sidecars.
    pub broadcast: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    network: Network,
    sockets: Vec<UdpSocket>,
    /// The gossip address of each sidecar.
    sidecars: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    samplers: Mutex<HashMap<(u16, u16), LinkSampler>>,
    delayed: Mutex<BinaryHeap<Reverse<DelayedDatagram>>>,
    changed: Notify,
    next_number: AtomicU64,
    counts: AtomicCounts,
}

/// A datagram in flight, ordered by due time and then by the order of sending.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Instant,
    number: u64,
    from: u16,
    to: u16,
    data: Vec<u8>,
}

impl GossipRelay {
    /// Starts a relay between sidecars with these gossip addresses, on the current runtime.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn start(network: Network, sidecars: Vec<SocketAddr>) -> io::Result<GossipRelay> {
        let mut sockets = Vec::new();
        for _ in &sidecars {
            sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
        }
        let broadcast_socket = UdpSocket::bind("127.0.0.1:0").await?;
        let peers = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let broadcast = broadcast_socket.local_addr()?;
        let shared = Arc::new(Shared {
            network,
            sockets,
            numbers: sidecars.iter().copied().zip(0..).collect(),
            sidecars,
            samplers: Mutex::default(),
            delayed: Mutex::default(),
            changed: Notify::new(),
            next_number: AtomicU64::new(0),
            counts: AtomicCounts::default(),
        });
        let mut tasks = vec![tokio::spawn(shared.clone().deliver_delayed())];
        for to in 0..shared.sidecars.len() {
            tasks.push(tokio::spawn(shared.clone().receive_for(to)));
        }
        tasks.push(tokio::spawn(shared.clone().receive_for_all(broadcast_socket)));
        Ok(GossipRelay { peers, broadcast, shared, tasks })
    }

    /// Returns the datagram counts so far.
    pub fn counts(&self) -> DatagramCounts {
        let counts = &self.shared.counts;
        DatagramCounts {
            sent: counts.sent.load(Relaxed),
            delivered: counts.delivered.load(Relaxed),
            bytes: counts.bytes.load(Relaxed),
            overflowed: counts.overflowed.load(Relaxed),
        }
    }
}

impl Drop for GossipRelay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// Receives datagrams for one sidecar. Datagrams from unknown senders are ignored.
    async fn receive_for(self: Arc<Shared>, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was sent to a port without a reader.
            let Ok((n, from)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            if let Some(&from) = self.numbers.get(&from) {
                self.send(from, to as u16, &buffer[..n]);
            }
        }
    }

    /// Receives datagrams for all sidecars except their sender.
    async fn receive_for_all(self: Arc<Shared>, socket: UdpSocket) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
            if let Some(&from) = self.numbers.get(&from) {
                let others = (0..self.sidecars.len() as u16).filter(|to| *to != from);
                others.for_each(|to| self.send(from, to, &buffer[..n]));
            }
        }
    }

    fn send(&self, from: u16, to: u16, data: &[u8]) {
        self.counts.sent.fetch_add(1, Relaxed);
        let now = Instant::now();
        for delivery in self.draw(from, to, data.len()) {
            let mut data = data.to_vec();
            if let Some(corruption) = delivery.corruption {
                data[corruption.offset] ^= corruption.mask;
            }
            if delivery.delay.is_zero() {
                self.deliver(from, to, &data);
            } else {
                let number = self.next_number.fetch_add(1, Relaxed);
                let due = now + delivery.delay;
                self.enqueue(DelayedDatagram { due, number, from, to, data });
            }
        }
    }

    fn draw(&self, from: u16, to: u16, bytes: usize) -> Vec<Delivery> {
        let (sender, receiver) = (Node::Sidecar(from), Node::Sidecar(to));
        let impairment = self.network.links(|links| links.impairment(sender, receiver));
        let new_sampler = || LinkSampler::new(self.network.seed(), sender, receiver);
        let mut samplers = self.samplers.lock().unwrap_or_else(PoisonError::into_inner);
        let sampler = samplers.entry((from, to)).or_insert_with(new_sampler);
        sampler.datagram(&impairment, self.network.elapsed(), bytes)
    }

    fn enqueue(&self, datagram: DelayedDatagram) {
        let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
        if delayed.len() >= MAX_DELAYED {
            self.counts.overflowed.fetch_add(1, Relaxed);
            return;
        }
        delayed.push(Reverse(datagram));
        drop(delayed);
        self.changed.notify_one();
    }

    fn deliver(&self, from: u16, to: u16, data: &[u8]) {
        let socket = &self.sockets[usize::from(from)];
        match socket.try_send_to(data, self.sidecars[usize::from(to)]) {
            Ok(n) => {
                self.counts.delivered.fetch_add(1, Relaxed);
                self.counts.bytes.fetch_add(n as u64, Relaxed);
            }
            Err(_) => drop(self.counts.overflowed.fetch_add(1, Relaxed)),
        }
    }

    /// Delivers delayed datagrams when they are due.
    async fn deliver_delayed(self: Arc<Shared>) {
        loop {
            let changed = self.changed.notified();
            match self.deliver_due() {
                Some(due) => {
                    let _ = tokio::time::timeout_at(due, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Delivers all datagrams that are due, and returns the time at which the next one is due.
    fn deliver_due(&self) -> Option<Instant> {
        loop {
            let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
            let due = delayed.peek().map(|Reverse(datagram)| datagram.due)?;
            if due > Instant::now() {
                return Some(due);
            }
            if let Some(Reverse(datagram)) = delayed.pop() {
                drop(delayed);
                self.deliver(datagram.from, datagram.to, &datagram.data);
            }
        }
    }
}
