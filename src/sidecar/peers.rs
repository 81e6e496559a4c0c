//! Datagrams between the sidecars of a tier.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Udp};
use rustc_hash::FxHashMap;

/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after receiving has failed.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The number that stands for all peers.
const ALL_PEERS: u32 = u32::MAX;

/// What handles datagrams of other sidecars.
pub trait DatagramHandler {
    /// Handles a datagram of the peer with this number.
    fn handle(&self, from: u32, data: &[u8]);
}

/// The socket to the other sidecars, and their addresses.
pub struct Peers<P: Runtime> {
    socket: P::Udp,
    /// Addresses, by number.
    addresses: Vec<SocketAddr>,
    /// Numbers, by address.
    numbers: FxHashMap<SocketAddr, u32>,
    /// Where datagrams reach all peers.
    multicast: Option<SocketAddr>,
}

impl<P: Runtime> Peers<P> {
    /// Peers by their numbers. `socket` is bound to where datagrams arrive; what is sent to `multicast` reaches all
    /// peers.
    pub fn new(
        socket: P::Udp,
        addresses: Vec<SocketAddr>,
        multicast: Option<SocketAddr>,
    ) -> Rc<Peers<P>> {
        let numbers = addresses.iter().copied().zip(0..).collect();
        Rc::new(Peers { socket, addresses, numbers, multicast })
    }

    /// Sends a datagram, which may be lost like any. One that is too long, or for a number that no peer has, is
    /// dropped.
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

    /// Receives datagrams; never ends. Those from unknown addresses and those that are too long are dropped.
    pub async fn listen(self: Rc<Peers<P>>, handler: impl DatagramHandler) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // It is about an earlier datagram of ours that could not be delivered, or a shortage.
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
