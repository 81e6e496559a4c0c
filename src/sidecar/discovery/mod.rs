//! Service discovery: fetches and watches the endpoint list and passes it on to a listener.
//!
//! Incomplete responses, and lists that are longer than the memory limit allows, are discarded.

mod calls;
mod client;
mod list_buffer;
mod poll;
mod progress;
mod push;
mod schedule;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::{Notify, mpsc, watch};

use super::config::{BorrowedText, EndpointList};
use super::discovery_status::CallOutcome;
use super::resource_limits::max_list_bytes;
use super::status::Status;
use crate::api::ListKind;
use crate::settings::DiscoveryMode as Mode;
use calls::{CallOrder, ListCall};
use client::{CallError, Connection, ListResponse};
use list_buffer::ListMemory;
use progress::Progress;
use schedule::CallTiming;

/// Minimum time between two log lines about a list that is too long.
const TOO_LONG_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A request of the balancer to the discovery client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Watch for changes from now on.
    Watch,
    /// Fetch the complete list once.
    Fetch,
}

/// Receives endpoint lists and failures from the discovery client.
pub trait EndpointListener {
    /// Called with a complete list or with changes to the current one.
    fn on_list(&self, kind: ListKind, list: &EndpointList<BorrowedText<'_>>);
    /// Returns the maximum number of servers in a list.
    fn max_servers(&self) -> usize;
    /// Called when a list was longer than [`EndpointListener::max_servers`] allows; the call counts as failed.
    fn on_list_too_long(&self);
    /// Called when a call failed or the watch was interrupted.
    fn on_failure(&self);
}

/// The effect of a received list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Update {
    /// The list was passed on.
    Changed,
    /// The list was passed on; it has no servers, or the same version as the previous list.
    Unchanged,
    /// The list was passed on; its version is lower than that of the previous list, since discovery has restarted
    /// its version counter.
    Restarted,
    /// The list was discarded: its version is lower than the current one, and it is either a list of changes or may
    /// be a duplicate of an earlier response.
    Stale,
    /// The list was discarded: a newer one arrived first.
    Superseded,
}

/// The client of the discovery service.
pub struct Discovery<P: Runtime> {
    /// Address of the discovery service, which a configuration reload can change.
    address: watch::Receiver<SocketAddr>,
    mode: Mode,
    call_timing: CallTiming,
    connection: Option<Connection<P>>,
    list_memory: ListMemory,
    /// Version of the current list.
    version: u64,
    call_finished: Rc<Notify>,
    status: Rc<Status>,
    /// Time of the last log line about a list that is too long.
    too_long_logged_at: Option<Instant>,
}

impl<P: Runtime> Discovery<P> {
    /// Creates a client without a connection.
    ///
    /// `grace` is the time for which a server may still be sent requests after discovery has reported it as draining
    /// or gone. `version` is the version of the cached list. `call_finished` is notified when a call ends, and
    /// `status` records how it ended.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        mode: Mode,
        grace: Duration,
        version: u64,
        call_finished: Rc<Notify>,
        status: Rc<Status>,
    ) -> Discovery<P> {
        Discovery {
            address,
            mode,
            call_timing: CallTiming::for_grace(grace),
            connection: None,
            list_memory: ListMemory::default(),
            version,
            call_finished,
            status,
            too_long_logged_at: None,
        }
    }

    /// Keeps the listener's list up to date until `requests` is closed.
    pub async fn run(
        mut self,
        listener: impl EndpointListener,
        requests: mpsc::UnboundedReceiver<DiscoveryRequest>,
    ) {
        match self.mode {
            Mode::Push => self.run_pushed(listener, requests).await,
            Mode::OnRequest => self.run_polled(listener, requests).await,
        }
    }

    /// Starts a call: a request for the complete list if `hold` is `None`, or else a watch, a long poll that the
    /// service may hold for `hold`.
    ///
    /// The response has to begin within `head_timeout` after that. The call uses the connection of the previous call
    /// and returns it with the list. After an error, the next call opens a new connection.
    fn start_call(
        &mut self,
        hold: Option<Duration>,
        head_timeout: Duration,
        max_servers: usize,
    ) -> ListCall<P> {
        let address = *self.address.borrow();
        self.status.discovery.record_call(P::now(), &address);
        let path = match hold {
            None => "/registry/instances".to_owned(),
            Some(hold) => {
                format!("/registry/instances?from={}&hold_ms={}", self.version, hold.as_millis())
            }
        };
        let timeouts = client::Timeouts::new(hold.unwrap_or_default(), head_timeout);
        let connection = self.connection.take().filter(|connection| !connection.is_closed());
        let max_bytes = max_list_bytes(max_servers);
        let memory = self.list_memory.clone();
        let progress = Progress::default();
        let limits = client::ResponseLimits { timeouts, max_bytes, memory };
        let result = client::fetch(connection, address, path, limits, progress.clone());
        ListCall { progress, result: Box::pin(result) }
    }

    /// Passes the list of a response on to the listener, and keeps the connection for the next call.
    fn apply(
        &mut self,
        listener: &impl EndpointListener,
        response: ListResponse<P>,
        order: CallOrder,
    ) -> Result<Update, CallError> {
        let is_used = response.connection.is_used();
        let update = self.apply_text(listener, response.text.text(), order, is_used)?;
        match update {
            Update::Changed | Update::Unchanged | Update::Restarted => {
                self.status.discovery.record_list(self.version, response.started, P::now());
            }
            Update::Stale | Update::Superseded => {
                self.status.discovery.record_outcome(CallOutcome::Superseded);
            }
        }
        // If this was a duplicate of an earlier response, the response to this call is still to come on the
        // connection, so the connection cannot be reused.
        self.connection = (update != Update::Stale).then_some(response.connection);
        Ok(update)
    }

    /// Passes a list on to the listener, unless it is older than the current one.
    ///
    /// Lists of many servers are large, so the parsed list borrows its names from the text instead of copying them.
    ///
    /// A list with a lower version on a reused connection may be a duplicate of an earlier response on that
    /// connection. Only a lower version on a new connection shows that discovery has restarted its version counter.
    fn apply_text(
        &mut self,
        listener: &impl EndpointListener,
        text: &[u8],
        order: CallOrder,
        is_used: bool,
    ) -> Result<Update, CallError> {
        let list: EndpointList<BorrowedText<'_>> =
            serde_json::from_slice(text).map_err(|_| CallError::Broken)?;
        let is_lower_version = list.version < self.version;
        if is_lower_version && order == CallOrder::BeforeList {
            return Ok(Update::Superseded);
        }
        if is_lower_version && (is_used || !list.is_complete) {
            return Ok(Update::Stale);
        }
        let same_version = list.version == self.version;
        self.version = list.version;
        let kind = if list.is_complete { ListKind::Complete } else { ListKind::Delta };
        listener.on_list(kind, &list);
        Ok(match list.endpoints.is_empty() || same_version {
            _ if is_lower_version => Update::Restarted,
            true => Update::Unchanged,
            false => Update::Changed,
        })
    }

    /// Records a call that returned no list.
    fn record_error(&self, response: &Result<Update, CallError>) {
        if let Err(error) = *response {
            tracing::debug!(%error, version = self.version, "discovery call failed");
            self.status.discovery.record_outcome(CallOutcome::from(error));
        }
    }

    /// Reports a list of at least `bytes` that was not read.
    ///
    /// A sidecar that reads more than its memory limit allows is killed. The list is logged because a sidecar that
    /// silently ignored it would never become ready for no visible reason.
    fn report_too_long(
        &mut self,
        listener: &impl EndpointListener,
        bytes: u64,
        max_servers: usize,
    ) {
        listener.on_list_too_long();
        let logged_at = self.too_long_logged_at;
        if logged_at.is_none_or(|at| P::elapsed_since(at) >= TOO_LONG_LOG_INTERVAL) {
            self.too_long_logged_at = Some(P::now());
            let max_bytes = max_list_bytes(max_servers);
            tracing::error!(
                bytes,
                most_bytes = max_bytes,
                most_servers = max_servers,
                "ignoring an endpoint list that is longer than limits.memory_mb allows"
            );
        }
    }
}

/// Waits until the address changes. Returns false immediately if it cannot change any more.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    address.changed().await.is_ok()
}
