//! Accepting client connections within their budget, and evicting connections to make room.

use std::cmp::Reverse;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::{Listener, Runtime, timeout};

use super::Ingress;
use super::connection::ClientConnection;
use super::phase::{EvictionClass, EvictionRank};
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::events::CloseReason;
use crate::sidecar::system_error::is_shortage;

/// Pause before the next accept when no descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Number of consecutive accept errors, other than shortages, after which accepting pauses for
/// [`ACCEPT_RETRY_DELAY`]: a listener that always fails must not keep the event loop busy.
const ACCEPT_FAILURES_BEFORE_PAUSE: u32 = 8;
/// Maximum number of idle connections closed for each accepted connection.
const MAX_EVICTIONS_PER_ACCEPT: usize = 2;

/// Result of a non-blocking accept during shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptOutcome {
    /// A connection was accepted and is being served.
    Accepted,
    /// The listener's queue is empty.
    QueueEmpty,
    /// The connection budget or the descriptors are exhausted, or the first queued connection is broken. More
    /// connections may be queued.
    Failed,
}

/// State of the listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Accepting {
    #[default]
    Active,
    /// The connections still in the queue are accepted, then the listener is closed.
    Stopping,
    /// The listener is closed.
    Ended,
}

impl<P: Runtime> Ingress<P> {
    /// Accepts clients until [`Self::stop_accepting`] is called, then accepts the connections that are
    /// still queued, and closes the listener as soon as its queue is found empty.
    pub async fn accept(self: Rc<Ingress<P>>, listener: P::Listener) {
        tokio::select! {
            biased;
            () = self.accept_clients(&listener) => {}
            () = self.accepting_stopped() => {}
        }
        loop {
            match self.accept_waiting(&listener) {
                AcceptOutcome::Accepted => {}
                AcceptOutcome::QueueEmpty => break,
                AcceptOutcome::Failed => {
                    self.note_backlog(P::now());
                    self.make_room();
                    self.wait_for_connection_end().await;
                }
            }
        }
        drop(listener);
        self.accepting.set(Accepting::Ended);
    }

    /// Has the listener closed once the queued connections are accepted. Clients that connect later are refused.
    pub fn stop_accepting(&self) {
        if self.accepting.get() == Accepting::Active {
            self.accepting.set(Accepting::Stopping);
            self.accepting_changed.notify_waiters();
        }
    }

    /// Completes once [`Self::stop_accepting`] has been called.
    pub async fn accepting_stopped(&self) {
        while self.accepting.get() == Accepting::Active {
            self.accepting_changed.notified().await;
        }
    }

    /// Whether the listener is closed.
    pub fn has_stopped_accepting(&self) -> bool {
        self.accepting.get() == Accepting::Ended
    }

    /// Accepts clients; never returns.
    ///
    /// While the connection budget is exhausted, new connections wait in the listener's queue, and the
    /// time of a request that was already sent on them runs. The system does not report when a
    /// connection was queued. It was not before the backlog began, so the age of the backlog is deducted
    /// from the time of the connection's first request. As a drawback, clients that connect during a
    /// backlog and send their request later get less time than they asked for.
    async fn accept_clients(self: &Rc<Ingress<P>>, listener: &P::Listener) {
        let mut failures_in_a_row = 0_u32;
        loop {
            let requested = P::now();
            let permit = self.acquire_permit().await;
            if P::now() > requested {
                self.note_backlog(requested);
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => {
                    self.backlog_since.set(None);
                    listener.accept().await
                }
            };
            match accepted {
                Ok((socket, _)) => {
                    failures_in_a_row = 0;
                    self.last_accepted.set(P::now());
                    self.evict_longest_idle();
                    self.start_connection(socket, permit);
                }
                // No error may end the accept loop.
                Err(error) if is_shortage(&error) => {
                    tracing::warn!(%error, "failed to accept a client connection");
                    self.last_accept_failure.set(Some(P::now()));
                    self.evict_one();
                    self.note_backlog(P::now());
                    // The pause leaves descriptors that become free to discovery and to connections to servers.
                    P::sleep(ACCEPT_RETRY_DELAY).await;
                }
                // The error concerns only this connection; others may be queued behind it.
                Err(error) => {
                    tracing::debug!(%error, "a client connection ended before it was accepted");
                    failures_in_a_row += 1;
                    if failures_in_a_row.is_multiple_of(ACCEPT_FAILURES_BEFORE_PAUSE) {
                        P::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
    }

    /// Accepts a connection if one is queued.
    fn accept_waiting(self: &Rc<Ingress<P>>, listener: &P::Listener) -> AcceptOutcome {
        let Some(permit) = self.socket_budget.clients.try_acquire(1) else {
            return AcceptOutcome::Failed;
        };
        match listener.try_accept() {
            Ok(socket) => {
                self.start_connection(socket, permit);
                AcceptOutcome::Accepted
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => AcceptOutcome::QueueEmpty,
            Err(error) => {
                tracing::debug!(%error, "failed to accept a client connection before the exit");
                AcceptOutcome::Failed
            }
        }
    }

    /// Records that connections may wait in the listener's queue since `since`. An earlier start of the backlog
    /// stays.
    pub fn note_backlog(&self, since: Instant) {
        self.backlog_since.set(self.backlog_since.get().or(Some(since)));
    }

    fn start_connection(self: &Rc<Ingress<P>>, socket: P::Tcp, permit: SocketPermit) {
        let accept_delay = self.backlog_since.get().map_or(Duration::ZERO, P::elapsed_since);
        let number = self.accept_count.get() + 1;
        self.accept_count.set(number);
        let socket = Rc::new(socket);
        let max_body = self.live.max_body_bytes();
        let connection = Rc::new(ClientConnection::new(number, &socket, accept_delay, max_body));
        self.connections.borrow_mut().insert(number, connection.clone());
        P::spawn(self.clone().serve_connection(connection, socket, permit));
    }

    /// Takes a permit for one more connection. If none is left, another connection is evicted.
    async fn acquire_permit(&self) -> SocketPermit {
        let clients = &self.socket_budget.clients;
        loop {
            if let Some(permit) = clients.try_acquire(1) {
                return permit;
            }
            self.make_room();
            if let Ok(Some(permit)) = timeout::<P, _>(ACCEPT_RETRY_DELAY, clients.acquire(1)).await
            {
                return permit;
            }
        }
    }

    /// Waits until a client connection has ended, but at most for [`ACCEPT_RETRY_DELAY`]: other events that free
    /// a descriptor are not notified.
    async fn wait_for_connection_end(&self) {
        let _ = timeout::<P, _>(ACCEPT_RETRY_DELAY, self.connection_ended.notified()).await;
    }

    /// Closes the connections that have been idle longest if there are more than the eviction threshold.
    /// Called for each accepted connection.
    ///
    /// Clients have connection limits of their own. Where a client sends one request on a connection and
    /// keeps it, its idle connections reach that limit long before this sidecar's, and its next request is
    /// never sent. The same holds for bursts of clients that connect for one request and stay connected.
    /// As a drawback, clients that use many connections in slow rotation have to reconnect each time.
    fn evict_longest_idle(&self) {
        let threshold = self.socket_budget.eviction_threshold();
        let surplus = self.connection_count().saturating_sub(threshold);
        if surplus > 0 {
            self.evict_idle(surplus.min(MAX_EVICTIONS_PER_ACCEPT));
        }
    }

    /// Evicts a connection so that another one can be accepted. While memory is short, new connections wait for it, and
    /// only connections are evicted for them that are idle and not new.
    fn make_room(&self) {
        let memory_is_short = self.socket_budget.clients.size() < self.socket_budget.per_side();
        if memory_is_short {
            self.evict_first(|rank, c| rank.class == EvictionClass::Idle && !c.is_new());
        } else {
            self.evict_one();
        }
    }

    /// Closes the connections that have been idle longest and long enough for eviction, up to `count`. Returns how many
    /// are closed.
    pub fn evict_idle(&self, count: usize) -> usize {
        let connections = self.connections.borrow();
        let mut idle: Vec<_> =
            connections.values().filter_map(|c| Some((c.evictable_idle_time()?, c))).collect();
        idle.sort_unstable_by_key(|(idle_time, _)| Reverse(*idle_time));
        idle.truncate(count);
        for (_, connection) in &idle {
            connection.request_close_if_idle(CloseReason::Evicted);
        }
        idle.len()
    }

    /// Closes the connection with the lowest eviction rank, if any can be evicted.
    fn evict_one(&self) {
        self.evict_first(|_, _| true);
    }

    /// Closes the connection with the lowest eviction rank, if any of those that qualify can be evicted.
    fn evict_first(&self, qualifies: impl Fn(EvictionRank, &ClientConnection<P>) -> bool) {
        let connections = self.connections.borrow();
        let mut ranked: Vec<_> = connections
            .values()
            .filter_map(|c| Some((c.eviction_rank()?, c)))
            .filter(|(rank, c)| qualifies(*rank, c))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let evicted = ranked.into_iter().find(|(_, c)| c.has_no_unread_input());
        match evicted {
            Some((rank, connection)) if rank.class == EvictionClass::Idle => {
                connection.request_close_if_idle(CloseReason::Evicted);
            }
            Some((_, connection)) => connection.request_close(CloseReason::Evicted),
            None => {}
        }
    }
}
