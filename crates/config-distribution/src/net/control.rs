//! Runs a control server: it follows origins, stores its state, and serves hosts.

mod api;
mod upstream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use super::Clock;
use super::http::serve;
use super::store::{StateStore, StoreError};
use crate::control::{ControlServer, ControlSettings, PersistentState};
use crate::{Epoch, Incarnation};

/// Memory per host in bytes: its entry, both buffers of its connection, and a response in flight.
pub const BYTES_PER_HOST: usize = 48 << 10;
/// Number of connections for origins and operators, in addition to those for hosts and members.
const EXTRA_CONNECTIONS: usize = 64;
/// Delay before another attempt to write the initial state.
const INITIAL_WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Configuration of a control server.
#[derive(Clone, Debug)]
pub struct Config {
    /// The server's name among the members.
    pub name: String,
    /// The directory of the server's state.
    pub state_dir: PathBuf,
    /// The addresses of all origins, whether they lead or not.
    pub origins: Vec<SocketAddr>,
    /// The addresses of the other members, by name.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Whether the server starts for the first time. Otherwise missing state counts as lost.
    pub is_new_member: bool,
    /// The maximum number of hosts that the server accepts.
    pub max_hosts: usize,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The origin that is followed, with its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FollowedOrigin {
    address: SocketAddr,
    epoch: Epoch,
}

/// The state that the tasks of a control server share.
struct Node {
    server: RefCell<ControlServer>,
    store: StateStore,
    /// Whether the state has changes that are not on disk yet. No message that depends on them may be sent.
    has_unstored_changes: Cell<bool>,
    clock: Clock,
    /// Notified when changes are committed.
    committed: watch::Sender<()>,
    followed: Cell<Option<FollowedOrigin>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Runs a control server on `listener`. Never returns once it has started.
///
/// # Errors
///
/// Returns an error if the state cannot be read at the start, or another process uses it. A failed write is not an
/// error: it is retried, and the messages that depend on it wait.
pub async fn run(listener: TcpListener, config: Config) -> Result<(), StoreError> {
    let store = StateStore::open(&config.state_dir)?;
    let state = load_state(&store, config.is_new_member).await?;
    let members = config.peers.len() + 1;
    let settings =
        ControlSettings { name: config.name.clone(), members, max_hosts: config.max_hosts };
    let server = ControlServer::new(settings, state, new_incarnation());
    let (promised_epoch, committed) = (server.promised_epoch(), server.committed());
    tracing::info!(name = %config.name, ?promised_epoch, committed, "control server started");
    let node = Rc::new(Node {
        server: RefCell::new(server),
        store,
        has_unstored_changes: Cell::new(false),
        clock: Clock::default(),
        committed: watch::Sender::new(()),
        followed: Cell::new(None),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(config.seed)),
    });
    for origin in config.origins {
        let node = node.clone();
        tokio::task::spawn_local(async move { node.follow(origin).await });
    }
    tokio::task::spawn_local(node.clone().report_progress());
    tokio::task::spawn_local(node.clone().recover(config.name, config.peers));
    let max_connections = config.max_hosts + members + EXTRA_CONNECTIONS;
    serve(listener, max_connections, move |request| node.clone().handle(request)).await;
    Ok(())
}

impl Node {
    /// Stores the state after a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be written. [`Node::ensure_stored`] then tries again.
    fn store_state(&self) -> Result<(), StoreError> {
        self.has_unstored_changes.set(true);
        self.ensure_stored()
    }

    /// Stores the state if an earlier attempt has failed. Has to be called before a message is sent that may depend on
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if the state still cannot be written.
    fn ensure_stored(&self) -> Result<(), StoreError> {
        if !self.has_unstored_changes.get() {
            return Ok(());
        }
        self.store.write(self.server.borrow().state())?;
        self.has_unstored_changes.set(false);
        // The state that was not stored may include newly committed changes.
        self.committed.send_replace(());
        Ok(())
    }
}

/// Reads the stored state. Returns `None` if it was lost. The initial state of a new member is on disk once this
/// returns.
async fn load_state(
    store: &StateStore,
    is_new_member: bool,
) -> Result<Option<PersistentState>, StoreError> {
    let stored = store.read()?;
    if stored.is_some() || !is_new_member {
        return Ok(stored);
    }
    let state = PersistentState::default();
    while let Err(error) = store.write(&state) {
        tracing::warn!(%error, "failed to write the initial state, retrying");
        sleep(INITIAL_WRITE_RETRY_DELAY).await;
    }
    Ok(Some(state))
}

/// Returns the incarnation for a disk that has no state yet: the Unix time in milliseconds.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as Incarnation
}
