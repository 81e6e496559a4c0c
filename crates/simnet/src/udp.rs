//! Simulated UDP sockets.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use runtime::Udp;

use crate::network::UdpState;
use crate::network_event::NetworkEvent;
use crate::state::{current, draw_bool, try_current};

/// A bound UDP socket.
#[derive(Debug)]
pub struct SimUdp {
    address: SocketAddr,
}

impl SimUdp {
    /// Binds a socket on the host of the running task.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::AddrInUse`] if the address is already bound.
    pub fn bind(address: SocketAddr) -> io::Result<SimUdp> {
        let world = current();
        let mut state = world.state.borrow_mut();
        let host = state.current_host;
        if state.network.udp_sockets.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let socket = UdpState { host, queue: VecDeque::new(), read_waker: None };
        state.network.udp_sockets.insert(address, socket);
        state.network.host_mut(host).open_sockets += 1;
        Ok(SimUdp { address })
    }

    fn poll_receive(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<(usize, SocketAddr)>> {
        let world = current();
        let mut state = world.state.borrow_mut();
        let network = &mut state.network;
        let Some(socket) = network.udp_sockets.get_mut(&self.address) else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        let reported = network.hosts[socket.host.0].reports_input();
        let datagram = if reported { socket.queue.pop_front() } else { None };
        let Some((from, data)) = datagram else {
            socket.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let length = data.len().min(buf.len());
        buf[..length].copy_from_slice(&data[..length]);
        Poll::Ready(Ok((length, from)))
    }
}

impl Udp for SimUdp {
    async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| self.poll_receive(cx, buf)).await
    }

    fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<usize> {
        let world = current();
        let mut state = world.state.borrow_mut();
        let state = &mut *state;
        let from = state.network.udp_sockets.get(&self.address).map(|socket| socket.host);
        let (Some(from), Some(target)) = (from, state.network.host_with_ip(to.ip())) else {
            return Ok(data.len());
        };
        let link = state.network.link(from, target);
        let (loss, duplication) = (link.datagram_loss, link.datagram_duplication);
        if link.partitioned || draw_bool(&mut state.rng, loss) {
            state.network.stats.datagrams_lost += 1;
            return Ok(data.len());
        }
        let copies = 1 + usize::from(draw_bool(&mut state.rng, duplication));
        for _ in 0..copies {
            let latency = state.draw_latency(from, target, data.len());
            let event = NetworkEvent::Datagram { from: self.address, to, data: data.to_vec() };
            state.schedule_network(latency, event);
        }
        Ok(data.len())
    }
}

impl Drop for SimUdp {
    fn drop(&mut self) {
        let Some(world) = try_current() else { return };
        let mut state = world.state.borrow_mut();
        if let Some(socket) = state.network.udp_sockets.remove(&self.address) {
            state.network.host_mut(socket.host).close_socket();
        }
    }
}
