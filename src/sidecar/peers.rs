//! Exchanges datagrams between the sidecars of a tier.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Udp};
use rustc_hash::FxHashMap;

/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Peer number that addresses all peers.
const ALL_PEERS: u32 = u32::MAX;

/// Handles datagrams from other sidecars.
pub trait DatagramHandler {
    /// Handles a datagram from the peer with this number.
    fn handle(&self, from: u32, data: &[u8]);
}

/// The UDP socket for datagrams to and from other sidecars, and their addresses.
pub struct Peers<P: Runtime> {
    socket: P::Udp,
    /// Addresses of the peers, indexed by their numbers.
    addresses: Vec<SocketAddr>,
    /// Numbers of the peers by their addresses.
    numbers: FxHashMap<SocketAddr, u32>,
    /// Multicast address that reaches all peers; `None` if there is none.
    multicast: Option<SocketAddr>,
}

impl<P: Runtime> Peers<P> {
    /// Creates the peers with these addresses, numbered from 0. `socket` is bound to the address that receives
    /// datagrams, and datagrams sent to `multicast` reach all peers.
    pub fn new(
        socket: P::Udp,
        addresses: Vec<SocketAddr>,
        multicast: Option<SocketAddr>,
    ) -> Rc<Peers<P>> {
        let numbers = addresses.iter().copied().zip(0..).collect();
        Rc::new(Peers { socket, addresses, numbers, multicast })
    }

    /// Sends a datagram without any guarantee of delivery. A datagram that is too long, or addressed to an unknown
    /// peer, is dropped.
    pub fn send(&self, peer: u32, data: &[u8]) {
        if data.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        let address = match peer {
            ALL_PEERS => self.multicast,
            number => self.addresses.get(number as usize).copied(),
        };
        if let Some(address) = address {
            let _ = self.socket.try_send_to(data, address);
        }
    }

    /// Receives datagrams. Never returns. Datagrams from unknown addresses and datagrams that are too long are dropped.
    pub async fn listen(self: Rc<Peers<P>>, handler: impl DatagramHandler) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram of this sidecar could not be delivered (ICMP error), or resources are exhausted.
                P::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            };
            if let Some(&peer) = self.numbers.get(&from)
                && length <= MAX_DATAGRAM_BYTES
            {
                handler.handle(peer, &buffer[..length]);
            }
        }
    }
}
