//! Service discovery: fetches and watches the list of servers, and passes it on to a listener.
//!
//! Only complete responses count, and none that is longer than the memory limit allows.

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

use super::budget::max_list_bytes;
use super::config::{BorrowedText, EndpointList};
use super::discovery_status::CallEnd;
use super::status::Status;
use crate::api::ListKind;
use crate::settings::DiscoveryMode as Mode;
use calls::{CallOrder, ListCall};
use client::{CallError, Connection, ListResponse};
use list_buffer::ListMemory;
use progress::Progress;
use schedule::AgentTimes;

/// How long the log is silent after a line that tells of a list which is too long.
const TOO_LONG_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the balancer asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Changes from now on.
    Watch,
    /// The complete list, once.
    Fetch,
}

/// Receives what discovery says.
pub trait EndpointListener {
    /// A complete list, or changes of it.
    fn on_list(&self, kind: ListKind, list: &EndpointList<BorrowedText<'_>>);
    /// How many servers can be listed at most.
    fn max_servers(&self) -> usize;
    /// A list was longer than that; the call counts as failed.
    fn on_list_too_long(&self);
    /// A call failed, or the watch broke.
    fn on_failure(&self);
}

/// What came of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Update {
    /// It was passed on.
    Changed,
    /// It was passed on, and has no servers, or the version of the one before.
    Unchanged,
    /// It was passed on, and has an earlier version than the one before: discovery counts anew.
    Restarted,
    /// It has changes since a version that discovery does not count any more, or may be a copy of an earlier
    /// answer, and was not passed on.
    Stale,
    /// A newer one arrived before it, and it was not passed on.
    Overtaken,
}

/// The client of the discovery service.
pub struct Discovery<P: Runtime> {
    /// Where the service is; a reload can change it.
    address: watch::Receiver<SocketAddr>,
    mode: Mode,
    agent: AgentTimes,
    connection: Option<Connection<P>>,
    list_memory: ListMemory,
    /// The version of the present list.
    version: u64,
    call_finished: Rc<Notify>,
    status: Rc<Status>,
    /// When a list that was too long was last logged.
    too_long_logged_at: Option<Instant>,
}

impl<P: Runtime> Discovery<P> {
    /// A client without a connection.
    ///
    /// `grace` is how long a server may be sent requests after it is known to want none, `version` the
    /// version of the cached list; `call_finished` is notified of every call that ends, and `status`
    /// is told how.
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
            agent: AgentTimes::within(grace),
            connection: None,
            list_memory: ListMemory::default(),
            version,
            call_finished,
            status,
            too_long_logged_at: None,
        }
    }

    /// Keeps the listener's list up to date.
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

    /// Starts a call: for the complete list, or a watch that the service may hold for `hold`.
    ///
    /// The response has to begin within `patience` after that. The call takes the connection of the
    /// last one, and hands it back with a list; after an error, the next call opens a new one.
    fn start_call(
        &mut self,
        hold: Option<Duration>,
        patience: Duration,
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
        let timeouts = client::Timeouts::new(hold.unwrap_or_default(), patience);
        let connection = self.connection.take().filter(|connection| !connection.is_closed());
        let max_bytes = max_list_bytes(max_servers);
        let memory = self.list_memory.clone();
        let progress = Progress::default();
        let limits = client::ResponseLimits { timeouts, max_bytes, memory };
        let result = client::fetch(connection, address, path, limits, progress.clone());
        ListCall { progress, result: Box::pin(result) }
    }

    /// Passes the list of a response on, and keeps the connection.
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
            Update::Stale | Update::Overtaken => {
                self.status.discovery.record_end(CallEnd::Superseded);
            }
        }
        // What may be a copy leaves the answer to its call still to come.
        self.connection = (update != Update::Stale).then_some(response.connection);
        Ok(update)
    }

    /// Passes a list on, unless it is older than the present one.
    ///
    /// A list is large if there are many servers. Its names stay where they are in its text, so that
    /// it is in memory once while it is read.
    ///
    /// One on a used connection that goes back may be the second copy of an earlier answer there. Only a new
    /// connection tells that discovery counts anew.
    fn apply_text(
        &mut self,
        listener: &impl EndpointListener,
        text: &[u8],
        order: CallOrder,
        is_used: bool,
    ) -> Result<Update, CallError> {
        let list: EndpointList<BorrowedText<'_>> =
            serde_json::from_slice(text).map_err(|_| CallError::Broken)?;
        let went_back = list.version < self.version;
        if went_back && order == CallOrder::BesideList {
            return Ok(Update::Overtaken);
        }
        if went_back && (is_used || !list.is_complete) {
            return Ok(Update::Stale);
        }
        let same_version = list.version == self.version;
        self.version = list.version;
        let kind = if list.is_complete { ListKind::Complete } else { ListKind::Delta };
        listener.on_list(kind, &list);
        Ok(match list.endpoints.is_empty() || same_version {
            _ if went_back => Update::Restarted,
            true => Update::Unchanged,
            false => Update::Changed,
        })
    }

    /// Counts a call that brought no list.
    fn record_error(&self, response: &Result<Update, CallError>) {
        if let Err(error) = *response {
            tracing::debug!(%error, version = self.version, "call of discovery failed");
            self.status.discovery.record_end(CallEnd::from(error));
        }
    }

    /// Reports a list of at least `bytes` that was not read.
    ///
    /// A sidecar that reads more than its memory limit allows is killed, and one that does not say
    /// what it ignores would never be ready for no visible reason.
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

/// Waits until the address changes; false, at once and for good, if it cannot change any more.
async fn address_changed(address: &mut watch::Receiver<SocketAddr>) -> bool {
    address.changed().await.is_ok()
}
