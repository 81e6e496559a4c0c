//! The connection pool: idle connections, and establishing new ones.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, timeout};

use super::connection::Connection;
use super::observer::ExchangeObserver;
use super::trust::ServerTrust;
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

    /// Keeps a connection for the next attempt, if it has carried nothing or can be used again, or else closes
    /// it.
    pub(super) fn return_to_pool(&self, server: ServerId, mut connection: Connection<P>) {
        if connection.observer.has_begun() {
            if !connection.observer.is_reusable() || !connection.trust.may_reuse(P::now()) {
                return;
            }
            connection.end_response();
        }
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// Takes a usable idle connection to `endpoint` from the pool, if there is one. With `needs_proof` it is
    /// one on which a rejection can be proven.
    pub(super) async fn take_idle(
        &self,
        endpoint: Endpoint,
        needs_proof: bool,
    ) -> Option<Connection<P>> {
        loop {
            let mut connection = self.pop_idle(endpoint.server, needs_proof)?;
            if connection.is_used() && !connection.trust.may_reuse(P::now())
                || connection.address != endpoint.address
                || P::elapsed_since(connection.idle_since) >= self.live.timeouts().max_reuse_idle()
                || !connection.is_usable()
            {
                continue;
            }
            if let Ok(Ok(())) = timeout::<P, _>(READY_TIMEOUT, connection.sender.ready()).await {
                connection.end_rest();
                return Some(connection);
            }
        }
    }

    /// Takes the idle connection to `server` that is least likely to be closed.
    ///
    /// Of the connections that have rested, the most recently used one is taken. A server may close a connection
    /// right behind a response, or send the response once more, which is seen by then.
    fn pop_idle(&self, server: ServerId, needs_proof: bool) -> Option<Connection<P>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let fits = |connection: &Connection<P>| {
            connection.has_rested() && !(needs_proof && connection.is_checked)
        };
        let index = connections.iter().rposition(fits)?;
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

    /// What is known of the responses of a server.
    fn trust(&self, server: ServerId) -> Rc<ServerTrust> {
        let mut trust = self.trust.borrow_mut();
        if trust.len() >= self.live.max_servers() && !trust.contains_key(&server) {
            let now = P::now();
            trust.retain(|_, known| Rc::strong_count(known) > 1 || !known.may_reuse(now));
            if trust.len() >= self.live.max_servers() {
                trust.clear();
            }
        }
        trust.entry(server).or_default().clone()
    }

    /// Opens a connection to `endpoint`; none if that fails or takes too long.
    pub(super) async fn connect(&self, endpoint: Endpoint) -> Option<Connection<P>> {
        let Endpoint { server, address } = endpoint;
        let place = self.acquire_socket().await?;
        let started = P::now();
        let limit = self.live.timeouts().connect;
        let socket = timeout::<P, _>(limit, P::connect(address)).await.ok()?.ok()?;
        let round_trip = P::elapsed_since(started);
        let trust = self.trust(server);
        let longest_body = self.live.max_body_bytes();
        let observer =
            ExchangeObserver::new(address, longest_body, trust.clone(), self.status.clone());
        let number = self.opened.get() + 1;
        self.opened.set(number);
        Connection::start(number, socket, address, round_trip, observer, trust, place).await
    }
}
