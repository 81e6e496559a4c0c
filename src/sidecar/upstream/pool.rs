//! The connection pool: idle connections, and establishing new ones.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, timeout};

use super::connection::{CLOSE_DELAY, Connection};
use super::observer::ExchangeObserver;
use super::{Endpoint, Upstream};
use crate::api::ServerId;
use crate::sidecar::budget::SocketPermit;

/// How often expired idle connections are looked for.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);
/// How often another idle connection is closed while an attempt waits for a socket.
const CLOSE_FOR_ROOM_INTERVAL: Duration = Duration::from_millis(2);
/// How long a connection may take to be ready for the next request after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

impl<P: Runtime> Upstream<P> {
    /// Closes idle connections that are about to expire or are closed already; never ends.
    pub(super) async fn evict_expired(self: Rc<Upstream<P>>) {
        loop {
            P::sleep(EVICTION_INTERVAL).await;
            let longest_idle = self.live.timeouts().max_reuse_idle();
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|connection| {
                    P::elapsed_since(connection.idle_since) < longest_idle
                        && !connection.sender.is_closed()
                });
                !connections.is_empty()
            });
        }
    }

    /// Closes the idle connections to `server`.
    pub fn close_idle(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Keeps a connection for the next attempt, if it can be used again, or else closes it.
    pub(super) fn return_to_pool(&self, server: ServerId, mut connection: Connection<P>) {
        if !connection.observer.is_reusable() {
            return;
        }
        connection.end_response();
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// Takes a usable idle connection to `endpoint` from the pool, if there is one. With `needs_proof` it is
    /// one on which a rejection would be believed.
    pub(super) async fn take_idle(
        &self,
        endpoint: Endpoint,
        needs_proof: bool,
    ) -> Option<Connection<P>> {
        loop {
            let mut connection = self.pop_idle(endpoint.server, needs_proof)?;
            if connection.address != endpoint.address
                || P::elapsed_since(connection.idle_since) >= self.live.timeouts().max_reuse_idle()
                || !connection.is_usable()
            {
                continue;
            }
            if let Ok(Ok(())) = timeout::<P, _>(READY_TIMEOUT, connection.sender.ready()).await {
                return Some(connection);
            }
        }
    }

    /// Takes the idle connection to `server` that is least likely to be closed.
    ///
    /// A server may close a connection right behind a response, and a request that is written before
    /// that is seen is lost as a reset. Of the connections that have been idle long enough for a close
    /// to have arrived, the most recently used one is taken; the others only if there is none such.
    fn pop_idle(&self, server: ServerId, needs_proof: bool) -> Option<Connection<P>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let fits = |connection: &Connection<P>| !needs_proof || !connection.after_rejection;
        let is_open = |connection: &Connection<P>| {
            fits(connection) && P::elapsed_since(connection.idle_since) >= CLOSE_DELAY
        };
        let open = connections.iter().rposition(is_open);
        let index = open.or_else(|| connections.iter().rposition(fits))?;
        Some(connections.remove(index))
    }

    /// Waits for a permit to open one more socket. As long as there is none left, the connection that
    /// has been idle longest is closed for it.
    ///
    /// One is not always enough: after a reload that lowers the limit, what becomes free goes to
    /// the limit first, and connections may become idle while this waits.
    async fn acquire_socket(&self) -> Option<SocketPermit> {
        if let Ok(place) = self.sockets.servers.clone().try_acquire_owned() {
            return Some(place);
        }
        let mut acquiring = pin!(self.sockets.servers.clone().acquire_owned());
        loop {
            self.close_longest_idle();
            tokio::select! {
                biased;
                place = &mut acquiring => return place.ok(),
                () = P::sleep(CLOSE_FOR_ROOM_INTERVAL) => {}
            }
        }
    }

    fn close_longest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(&server, connections)| Some((connections.first()?.idle_since, server)))
            .min();
        if let Some(connections) = oldest.and_then(|(_, server)| idle.get_mut(&server)) {
            connections.remove(0);
        }
    }

    /// Opens a connection to `address`; none if that fails or takes too long.
    pub(super) async fn connect(&self, address: SocketAddr) -> Option<Connection<P>> {
        let place = self.acquire_socket().await?;
        let started = P::now();
        let limit = self.live.timeouts().connect;
        let socket = timeout::<P, _>(limit, P::connect(address)).await.ok()?.ok()?;
        let round_trip = P::elapsed_since(started);
        let observer = ExchangeObserver::new(self.live.max_body_bytes(), self.status.clone());
        let number = self.opened.get() + 1;
        self.opened.set(number);
        Connection::start(number, socket, address, round_trip, observer, place).await
    }
}
