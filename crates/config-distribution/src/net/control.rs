//! A control server on its listener: it follows origins, stores its state, and serves hosts.

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

/// The memory that one host takes, in bytes: its entry, both sides of its connection, and a response on its way.
pub const BYTES_PER_HOST: usize = 48 << 10;
/// Connections of origins and operators, beyond those of the hosts and members.
const EXTRA_CONNECTIONS: usize = 64;
/// The pause after the first state could not be written.
const FIRST_WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a control server is configured with.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name among the members.
    pub name: String,
    /// The directory of its state.
    pub state_dir: PathBuf,
    /// The origins, whichever leads.
    pub origins: Vec<SocketAddr>,
    /// The other members.
    pub peers: BTreeMap<String, SocketAddr>,
    /// Whether it starts for the first time, so that there is no state that it could have lost.
    pub is_new_member: bool,
    /// The most hosts that it accepts.
    pub max_hosts: usize,
    /// The seed of its random draws.
    pub seed: u64,
}

/// The origin that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FollowedOrigin {
    address: SocketAddr,
    epoch: Epoch,
}

/// What the tasks of a control server share.
struct Node {
    server: RefCell<ControlServer>,
    store: StateStore,
    /// The state has changed, and is not on disk yet. Nothing that follows from it may be sent.
    unstored: Cell<bool>,
    clock: Clock,
    /// Notified when changes are committed.
    committed: watch::Sender<()>,
    followed: Cell<Option<FollowedOrigin>>,
    rng: RefCell<Pcg64Mcg>,
}

/// Runs a control server on `listener`, for as long as that accepts.
///
/// # Errors
///
/// At the start, the state cannot be read, or another process uses it. A failed write is repeated, and delays what it
/// is for.
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
        unstored: Cell::new(false),
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
    /// Stores the state, which has changed.
    ///
    /// # Errors
    ///
    /// The state could not be written. [`Node::ensure_stored`] tries again.
    fn store_state(&self) -> Result<(), StoreError> {
        self.unstored.set(true);
        self.ensure_stored()
    }

    /// Stores the state if an earlier attempt has failed. To be called before anything is sent that may follow from it.
    ///
    /// # Errors
    ///
    /// The state still cannot be written.
    fn ensure_stored(&self) -> Result<(), StoreError> {
        if !self.unstored.get() {
            return Ok(());
        }
        self.store.write(self.server.borrow().state())?;
        self.unstored.set(false);
        // Changes may have been committed with what was not stored.
        self.committed.send_replace(());
        Ok(())
    }
}

/// The stored state; `None` where it was lost. That of a new member is on disk once this returns.
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
        tracing::warn!(%error, "failed to write the first state, retrying");
        sleep(FIRST_WRITE_RETRY_DELAY).await;
    }
    Ok(Some(state))
}

/// The number of a disk that has no state yet: the milliseconds of Unix time.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as Incarnation
}
