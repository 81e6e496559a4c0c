//! Accepting client connections within their budget, and evicting connections to make room.

use std::cmp::Reverse;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::{Listener, Runtime, timeout};

use super::Ingress;
use super::connection::ClientConnection;
use crate::sidecar::budget::SocketPermit;
use crate::sidecar::events::CloseReason;
use crate::sidecar::system_error::is_shortage;

/// The pause before accepting is tried again when no descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// So many failures in a row that are no shortage are followed by the same pause: a listener that only
/// fails must not take all of the processor.
const ACCEPT_FAILURES_BEFORE_PAUSE: u32 = 8;
/// How many connections are closed at most with each one that is accepted.
const MAX_EVICTIONS_PER_ACCEPT: usize = 2;

/// What a look at the listener's queue has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// A connection, which is served now.
    Accepted,
    /// Nothing.
    Empty,
    /// There is no descriptor or place for what may wait there, or the first connection is broken.
    Unknown,
}

/// Whether clients are accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Accepting {
    #[default]
    Active,
    /// What waits in the queue is accepted, and nothing after that.
    Stopping,
    /// The listener is closed.
    Ended,
}

impl<P: Runtime> Ingress<P> {
    /// Accepts clients until [`Self::stop_accepting`] is called, and then what waits in the queue. The
    /// listener is closed right behind the last look at it.
    pub async fn accept(self: Rc<Ingress<P>>, listener: P::Listener) {
        tokio::select! {
            biased;
            () = self.accept_clients(&listener) => {}
            () = self.accepting_stopped() => {}
        }
        loop {
            match self.accept_waiting(&listener) {
                Queue::Accepted => {}
                Queue::Empty => break,
                Queue::Unknown => {
                    self.fall_behind(P::now());
                    self.evict_one();
                    self.wait_for_place().await;
                }
            }
        }
        drop(listener);
        self.accepting.set(Accepting::Ended);
    }

    /// Has the listener closed, after what waits there was accepted: clients that connect later are refused.
    pub fn stop_accepting(&self) {
        if self.accepting.get() == Accepting::Active {
            self.accepting.set(Accepting::Stopping);
            self.accepting_changed.notify_waiters();
        }
    }

    /// Completes when no further client is to be accepted.
    pub async fn accepting_stopped(&self) {
        while self.accepting.get() == Accepting::Active {
            self.accepting_changed.notified().await;
        }
    }

    /// Whether the listener is closed.
    pub fn has_stopped_accepting(&self) -> bool {
        self.accepting.get() == Accepting::Ended
    }

    /// Accepts clients; never ends.
    ///
    /// What waits in the listener's queue while the budget is used up is in progress already for
    /// its client, and its time runs. Nothing tells since when it waits; it came no earlier than
    /// accepting last fell behind, and that much is taken off its first request's time. Clients
    /// that connect in a crowd and send their request later get less time than they ask for.
    async fn accept_clients(self: &Rc<Ingress<P>>, listener: &P::Listener) {
        let mut failures_in_a_row = 0_u32;
        loop {
            let requested = P::now();
            let permit = self.acquire_permit().await;
            if P::now() > requested {
                self.fall_behind(requested);
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => {
                    self.behind_since.set(None);
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
                // Whatever fails must not end accepting.
                Err(error) if is_shortage(&error) => {
                    tracing::warn!(%error, "failed to accept a client connection");
                    self.last_accept_failure.set(Some(P::now()));
                    self.evict_one();
                    self.fall_behind(P::now());
                    // Discovery and servers get what becomes free meanwhile.
                    P::sleep(ACCEPT_RETRY_DELAY).await;
                }
                // Only that connection is lost, and the next may wait behind it.
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

    /// Accepts a connection that waits in the listener's queue now.
    fn accept_waiting(self: &Rc<Ingress<P>>, listener: &P::Listener) -> Queue {
        let Ok(permit) = self.socket_budget.clients.clone().try_acquire_owned() else {
            return Queue::Unknown;
        };
        match listener.try_accept() {
            Ok(socket) => {
                self.start_connection(socket, permit);
                Queue::Accepted
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Queue::Empty,
            Err(error) => {
                tracing::debug!(%error, "failed to accept a client connection before the exit");
                Queue::Unknown
            }
        }
    }

    /// Notes that from `since` on connections may wait in the listener's queue, unless they did before.
    fn fall_behind(&self, since: Instant) {
        self.behind_since.set(self.behind_since.get().or(Some(since)));
    }

    fn start_connection(self: &Rc<Ingress<P>>, socket: P::Tcp, permit: SocketPermit) {
        let accept_delay = self.behind_since.get().map_or(Duration::ZERO, P::elapsed_since);
        let number = self.accept_count.get() + 1;
        self.accept_count.set(number);
        let socket = Rc::new(socket);
        let max_body = self.live.max_body_bytes();
        let connection = Rc::new(ClientConnection::new(number, &socket, accept_delay, max_body));
        self.connections.borrow_mut().insert(number, connection.clone());
        P::spawn(self.clone().serve_connection(connection, socket, permit));
    }

    /// A place for one more connection. One without a request in progress makes room if needed.
    async fn acquire_permit(&self) -> SocketPermit {
        loop {
            let clients = self.socket_budget.clients.clone();
            if let Ok(permit) = clients.clone().try_acquire_owned() {
                return permit;
            }
            self.evict_one();
            let acquired = timeout::<P, _>(ACCEPT_RETRY_DELAY, clients.acquire_owned()).await;
            if let Ok(Ok(permit)) = acquired {
                return permit;
            }
        }
    }

    /// Waits until a client's connection has ended. What else frees a descriptor is not told: it is tried
    /// again after a pause.
    async fn wait_for_place(&self) {
        let _ = timeout::<P, _>(ACCEPT_RETRY_DELAY, self.place_freed.notified()).await;
    }

    /// With each client that connects when there are many, closes those that have been idle for
    /// the longest time.
    ///
    /// Clients may hold only so many connections. Where they send one request and keep the
    /// connection, idle ones use up the clients' limit long before ours, and their next request
    /// never gets here. This also covers crowds that connect for one request and stay. Clients with
    /// many connections that are used in slow rotation have to reconnect each time.
    fn evict_longest_idle(&self) {
        let connections = self.connections.borrow();
        let surplus = connections.len().saturating_sub(self.socket_budget.eviction_threshold());
        let surplus = surplus.min(MAX_EVICTIONS_PER_ACCEPT);
        if surplus == 0 {
            return;
        }
        let mut idle: Vec<_> =
            connections.values().filter_map(|c| Some((c.evictable_idle_time()?, c))).collect();
        idle.sort_unstable_by_key(|(idle_time, _)| Reverse(*idle_time));
        for (_, connection) in idle.into_iter().take(surplus) {
            connection.request_close(CloseReason::Evicted);
        }
    }

    /// Closes the connection that can best be spared, if one can.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let mut ranked: Vec<_> =
            connections.values().filter_map(|c| Some((c.eviction_rank()?, c))).collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let evicted = ranked.into_iter().find(|(_, c)| c.has_no_unread_input());
        if let Some((_, connection)) = evicted {
            connection.request_close(CloseReason::Evicted);
        }
    }
}
