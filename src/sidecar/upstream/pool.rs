//! The connection pool: idle connections, and establishing new ones.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, timeout};

use super::close_reason::CloseReason;
use super::connection::Connection;
use super::desync::ResponseHistory;
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
                    let reason = expiry_reason(connection, longest_idle);
                    connection.set_close_reason(reason.unwrap_or_default());
                    reason.is_none()
                });
                !connections.is_empty()
            });
        }
    }

    /// Closes the idle connections to `server`.
    pub fn close_idle(&self, server: ServerId) {
        for connection in self.idle.borrow_mut().remove(&server).into_iter().flatten() {
            connection.close(CloseReason::Unwanted);
        }
    }

    /// Keeps a connection on which a request has been answered for the next attempt, if it can be used again, or
    /// else closes it.
    pub(super) fn return_to_pool(&self, server: ServerId, mut connection: Connection<P>) {
        if !connection.observer.is_reusable() {
            return connection.close(CloseReason::NotReusable);
        }
        if !connection.history.allows_reuse(P::now()) {
            return connection.close(CloseReason::ReuseSuspended);
        }
        connection.end_response();
        if !connection.is_below_request_limit() {
            return connection.close(CloseReason::RequestLimit);
        }
        self.put_back(server, connection);
    }

    /// Keeps a connection for the next attempt on which nothing was sent since it was opened or taken.
    pub(super) fn put_back(&self, server: ServerId, connection: Connection<P>) {
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
            if let Some(reason) = self.reason_against_use(&connection, endpoint) {
                connection.close(reason);
                continue;
            }
            if let Ok(Ok(())) = timeout::<P, _>(READY_TIMEOUT, connection.sender.ready()).await {
                connection.record_clean_reuse();
                return Some(connection);
            }
            connection.close(CloseReason::ClosedByServer);
        }
    }

    /// Why an idle connection cannot carry another request to `endpoint`, if it cannot.
    fn reason_against_use(
        &self,
        connection: &Connection<P>,
        endpoint: Endpoint,
    ) -> Option<CloseReason> {
        if connection.is_used() && !connection.history.allows_reuse(P::now()) {
            return Some(CloseReason::ReuseSuspended);
        }
        if connection.address != endpoint.address {
            return Some(CloseReason::AddressChanged);
        }
        if let Some(reason) = expiry_reason(connection, self.live.timeouts().max_reuse_idle()) {
            return Some(reason);
        }
        (!connection.is_usable()).then_some(CloseReason::ClosedByServer)
    }

    /// Takes the idle connection to `server` that is least likely to be closed.
    ///
    /// Of the connections that are past their quiet period, the most recently used one is taken. A server may close a
    /// connection right behind a response, or send the response once more, which is seen by then.
    fn pop_idle(&self, server: ServerId, needs_proof: bool) -> Option<Connection<P>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let fits = |connection: &Connection<P>| {
            connection.is_past_quiet_period() && !(needs_proof && connection.is_sync_checked)
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
            connections.remove(0).close(CloseReason::Evicted);
        }
    }

    /// What is known of the responses of a server.
    fn response_history(&self, server: ServerId) -> Rc<ResponseHistory> {
        let mut histories = self.histories.borrow_mut();
        let max = self.live.max_servers();
        if histories.len() >= max && !histories.contains_key(&server) {
            let now = P::now();
            histories
                .retain(|_, history| Rc::strong_count(history) > 1 || !history.allows_reuse(now));
            if histories.len() >= max {
                histories.clear();
            }
        }
        histories.entry(server).or_default().clone()
    }

    /// Opens a connection to `endpoint`; none if that fails or takes too long.
    pub(super) async fn connect(&self, endpoint: Endpoint) -> Option<Connection<P>> {
        let Endpoint { server, address } = endpoint;
        let place = self.acquire_socket().await?;
        let started = P::now();
        let limit = self.live.timeouts().connect;
        let socket = timeout::<P, _>(limit, P::connect(address)).await.ok()?.ok()?;
        let round_trip = P::elapsed_since(started);
        let history = self.response_history(server);
        let longest_body = self.live.max_body_bytes();
        let observer =
            ExchangeObserver::new(address, longest_body, history.clone(), self.status.clone());
        let number = self.opened.get() + 1;
        self.opened.set(number);
        Connection::start(number, socket, address, round_trip, observer, history, place).await
    }
}

/// Why an idle connection is not kept any longer, if it is not.
fn expiry_reason<P: Runtime>(
    connection: &Connection<P>,
    longest_idle: Duration,
) -> Option<CloseReason> {
    if connection.sender.is_closed() {
        return Some(CloseReason::ClosedByServer);
    }
    let has_expired = P::elapsed_since(connection.idle_since) >= longest_idle;
    has_expired.then_some(CloseReason::Expired)
}
