//! Datagrams between sidecars of the tier.

use std::net::SocketAddr;
use std::rc::Rc;

use runtime::{Runtime, Udp};
use rustc_hash::FxHashMap;

/// The longest datagram.
const LONGEST: usize = 256;
/// The peer that stands for all of them.
const EVERYONE: u32 = u32::MAX;

/// Who takes in what other sidecars send.
pub trait Inbox {
    /// A datagram of the peer of this number.
    fn note(&self, from: u32, data: &[u8]);
}

/// The way to the other sidecars.
pub struct Peers<P: Runtime> {
    socket: P::Udp,
    peers: Vec<SocketAddr>,
    /// Their numbers, by their addresses.
    numbers: FxHashMap<SocketAddr, u32>,
    everyone: Option<SocketAddr>,
}

impl<P: Runtime> Peers<P> {
    /// `socket` is bound to where datagrams arrive.
    pub fn new(
        socket: P::Udp,
        peers: Vec<SocketAddr>,
        everyone: Option<SocketAddr>,
    ) -> Rc<Peers<P>> {
        let numbers = peers.iter().copied().zip(0..).collect();
        Rc::new(Peers { socket, peers, numbers, everyone })
    }

    /// Sends a datagram; it may be lost, like any.
    pub fn tell(&self, peer: u32, data: &[u8]) {
        let to = match peer {
            EVERYONE => self.everyone,
            n => self.peers.get(n as usize).copied(),
        };
        if let (Some(to), true) = (to, data.len() <= LONGEST) {
            let _ = self.socket.try_send_to(data, to);
        }
    }

    /// Takes in datagrams. Those of strangers and those that are too long are passed over.
    pub async fn listen(self: Rc<Peers<P>>, inbox: impl Inbox) {
        let mut buf = [0; LONGEST + 1];
        loop {
            // An error tells of a datagram that was sent, and that no reader waited for.
            let Ok((n, from)) = self.socket.recv_from(&mut buf).await else { continue };
            let peer = self.numbers.get(&from);
            if let (Some(&peer), true) = (peer, n <= LONGEST) {
                inbox.note(peer, &buf[..n]);
            }
        }
    }
}
