//! Simulated listening sockets.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll};

use runtime::{Listener, Tcp};

use crate::connection::Endpoint;
use crate::network::ListenerState;
use crate::state::{current, try_current};
use crate::tap::TapEvent;
use crate::tcp::SimTcp;

/// A listening TCP socket.
#[derive(Debug)]
pub struct SimListener {
    address: SocketAddr,
}

impl SimListener {
    /// Listens on the host of the running task. The backlog holds at most `backlog_limit` connections.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::AddrInUse`] if another listener is bound to the address.
    pub fn bind(address: SocketAddr, backlog_limit: usize) -> io::Result<SimListener> {
        let world = current();
        let mut state = world.state.borrow_mut();
        let host = state.current_host;
        if state.network.listeners.contains_key(&address) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let backlog = VecDeque::new();
        let (accept_waker, unreported) = (None, false);
        let listener = ListenerState { host, backlog, backlog_limit, accept_waker, unreported };
        state.network.listeners.insert(address, listener);
        state.network.host_mut(host).open_sockets += 1;
        Ok(SimListener { address })
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<(SimTcp, SocketAddr)>> {
        if !self.reports_input() {
            return self.register_accept_waker(cx);
        }
        match self.accept_from_backlog() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => self.register_accept_waker(cx),
            accepted => Poll::Ready(accepted),
        }
    }

    fn reports_input(&self) -> bool {
        let world = current();
        let network = &world.state.borrow().network;
        let listener = network.listeners.get(&self.address);
        listener.is_none_or(|listener| !listener.unreported)
    }

    fn register_accept_waker<T>(&self, cx: &mut Context<'_>) -> Poll<T> {
        let world = current();
        let mut state = world.state.borrow_mut();
        if let Some(listener) = state.network.listeners.get_mut(&self.address) {
            listener.accept_waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn accept_from_backlog(&self) -> io::Result<(SimTcp, SocketAddr)> {
        let world = current();
        let mut state = world.state.borrow_mut();
        let network = &mut state.network;
        let listener = network.listeners.get_mut(&self.address).ok_or(ErrorKind::NotConnected)?;
        if listener.backlog.is_empty() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let by = listener.host;
        network.hosts[by.0].open_socket()?;
        let connection = listener.backlog.pop_front().ok_or(ErrorKind::WouldBlock)?;
        let from =
            network.connections.get(&connection).map(|c| c.endpoint(Endpoint::Client).address);
        let socket = SimTcp::new(connection, Endpoint::Server);
        drop(state);
        world.notify_tap(&TapEvent::Accepted { connection, by });
        Ok((socket, from.ok_or(ErrorKind::ConnectionAborted)?))
    }
}

impl Listener for SimListener {
    type Tcp = SimTcp;

    async fn accept(&self) -> io::Result<(SimTcp, SocketAddr)> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn try_accept(&self) -> io::Result<SimTcp> {
        Ok(self.accept_from_backlog()?.0)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let Some(world) = try_current() else { return };
        let not_accepted = {
            let mut state = world.state.borrow_mut();
            let Some(listener) = state.network.listeners.remove(&self.address) else { return };
            let host = state.network.host_mut(listener.host);
            host.close_socket();
            host.open_sockets += listener.backlog.len();
            listener.backlog
        };
        // Connections left in the backlog are reset when these sockets are dropped.
        for connection in not_accepted {
            SimTcp::new(connection, Endpoint::Server).reset_on_close();
        }
    }
}
