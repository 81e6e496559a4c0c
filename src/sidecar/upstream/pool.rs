//! The connection pool: keeps idle connections and opens new ones.

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

/// The interval at which expired idle connections are closed.
const EVICTION_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which further idle connections are closed while an attempt waits for a socket permit.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// The maximum time for an idle connection to become ready for the next request after its last response.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

impl<P: Runtime> Upstream<P> {
    /// Closes idle connections that have expired or were closed by the server. Never returns.
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

    /// Closes all idle connections to `server`.
    pub fn close_idle(&self, server: ServerId) {
        for connection in self.idle.borrow_mut().remove(&server).into_iter().flatten() {
            connection.close(CloseReason::Unwanted);
        }
    }

    /// Returns a connection to the pool after a response, or closes it if it cannot be reused.
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
        if connection.heads.has_carried_long(&self.message_memory) {
            return connection.close(CloseReason::LongHead);
        }
        self.put_back(server, connection);
    }

    /// Adds a connection to the pool without checks: one that [`Upstream::return_to_pool`] has checked, or one on which
    /// nothing was sent since it was opened or taken.
    pub(super) fn put_back(&self, server: ServerId, connection: Connection<P>) {
        self.idle.borrow_mut().entry(server).or_default().push(connection);
    }

    /// Takes a usable idle connection to `endpoint` from the pool, if there is one.
    ///
    /// With `needs_proof`, only connections qualify on which a sync check can still verify a rejection.
    pub(super) async fn take_idle(
        &self,
        endpoint: Endpoint,
        needs_proof: bool,
    ) -> Option<Connection<P>> {
        loop {
            let mut connection = self.pop_idle(endpoint.server, needs_proof)?;
            if let Some(reason) = self.unusable_reason(&connection, endpoint) {
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

    /// Returns why an idle connection cannot carry another request to `endpoint`, or `None` if it can.
    fn unusable_reason(
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
    /// This is the most recently used one of those past their quiet period. A server that closes a connection right
    /// after a response, or sends the response twice, is noticed during that period.
    fn pop_idle(&self, server: ServerId, needs_proof: bool) -> Option<Connection<P>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let is_eligible = |connection: &Connection<P>| {
            connection.is_past_quiet_period() && !(needs_proof && connection.is_sync_checked)
        };
        let index = connections.iter().rposition(is_eligible)?;
        Some(connections.remove(index))
    }

    /// Waits for a permit to open a socket. While none is available, closes the longest idle connections one by one.
    ///
    /// Closing one is not always enough: after a reload that lowers the limit, released permits are withdrawn first.
    /// Also, further connections may become idle during the wait.
    async fn acquire_socket(&self) -> Option<SocketPermit> {
        if let Some(permit) = self.sockets.servers.try_acquire(1) {
            return Some(permit);
        }
        let mut acquiring = pin!(self.sockets.servers.acquire(1));
        loop {
            self.close_longest_idle();
            tokio::select! {
                biased;
                permit = &mut acquiring => return permit,
                () = P::sleep(EVICTION_RETRY_INTERVAL) => {}
            }
        }
    }

    /// Closes the connections that have been idle longest, up to `count`. Returns how many were closed.
    pub fn close_longest_idle_connections(&self, count: usize) -> usize {
        (0..count).take_while(|_| self.close_longest_idle()).count()
    }

    /// Closes the connection that has been idle longest. Returns whether there was one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter()
            .filter_map(|(&server, connections)| Some((connections.first()?.idle_since, server)))
            .min();
        let Some(connections) = oldest.and_then(|(_, server)| idle.get_mut(&server)) else {
            return false;
        };
        connections.remove(0).close(CloseReason::Evicted);
        true
    }

    /// Returns the response history of a server. There are at most as many histories as servers may be listed. If a
    /// further one is needed, those without connections and quarantine are dropped, or else all.
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
        let create = || Rc::new(ResponseHistory::new(self.short_lengths.clone()));
        histories.entry(server).or_insert_with(create).clone()
    }

    /// Opens a connection to `endpoint`. Returns `None` on failure or after the connect timeout.
    pub(super) async fn connect(&self, endpoint: Endpoint) -> Option<Connection<P>> {
        let Endpoint { server, address } = endpoint;
        let permit = self.acquire_socket().await?;
        let started = P::now();
        let limit = self.live.timeouts().connect;
        let socket = timeout::<P, _>(limit, P::connect(address)).await.ok()?.ok()?;
        let round_trip = P::elapsed_since(started);
        let history = self.response_history(server);
        let max_body_bytes = self.live.max_body_bytes();
        let observer =
            ExchangeObserver::new(address, max_body_bytes, history.clone(), self.status.clone());
        let number = self.opened.get() + 1;
        self.opened.set(number);
        Connection::start(number, socket, address, round_trip, observer, history, permit).await
    }
}

/// Returns why an idle connection is not kept any longer, or `None` if it is kept.
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
