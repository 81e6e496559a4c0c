//! A process of hollow sidecars.
//!
//! The process reads its [`Group`] from standard input, writes its [`GroupStatus`] to standard output every
//! 100 ms, and exits when standard input ends. The messages need not be compatible with other versions,
//! because a run starts its own executable.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config_distribution::Generation;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::LocalSet;

mod sidecar;

use sidecar::{Membership, start_sidecars};

/// The time between two lines of status.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// A hollow sidecar.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HollowSidecar {
    /// The name of the sidecar and of its host.
    pub name: String,
    /// The name of the zone.
    pub zone: String,
    /// The number of the service that the sidecar sends requests to.
    pub service: usize,
    /// The configuration without the distributed documents. Its discovery is replaced by one in this process.
    pub config: Value,
}

/// The hollow sidecars of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Group {
    /// The sidecars.
    pub sidecars: Vec<HollowSidecar>,
    /// The names and addresses of the control servers of their region.
    pub control_servers: Vec<(String, SocketAddr)>,
    /// The length of the endpoint list of each service.
    pub servers_per_service: usize,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The state of all hollow sidecars of a process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct GroupStatus {
    /// By generation: the number of sidecars in which it or a later one is in force, and the time at which the last of
    /// them applied it, in microseconds of Unix time.
    pub in_force: BTreeMap<Generation, (usize, u64)>,
    /// The number of rejected configurations.
    pub rejected: u64,
    /// The number of received endpoint lists.
    pub endpoint_lists: u64,
    /// The number of sidecars that know all of their gossip peers.
    pub complete_memberships: usize,
    /// The number of times that an older generation replaced a newer one.
    pub regressions: u64,
}

/// An error of a process of hollow sidecars.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Standard input does not contain a valid group.
    #[error("invalid group on standard input: {0}")]
    Group(serde_json::Error),
    /// The discovery of a service could not be started.
    #[error("failed to start discovery: {0}")]
    Discovery(io::Error),
    /// A gossip address could not be bound.
    #[error("failed to bind gossip address {address}: {source}")]
    GossipSocket {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A sidecar's configuration is invalid.
    #[error("{sidecar}: {reason}")]
    Configuration {
        /// The name of the sidecar.
        sidecar: String,
        /// The description of the problem.
        reason: String,
    },
    /// The gossip settings of a sidecar are invalid.
    #[error("{0}")]
    Gossip(String),
}

/// Counters shared by all sidecars of the process.
#[derive(Default)]
struct Counters {
    status: RefCell<GroupStatus>,
    /// The number of received endpoint lists. Kept outside of `status`, which may be borrowed when a list is received.
    endpoint_lists: Cell<u64>,
}

impl Counters {
    fn status(&self, memberships: &[Membership]) -> GroupStatus {
        let mut status = self.status.borrow().clone();
        status.endpoint_lists = self.endpoint_lists.get();
        status.complete_memberships = memberships.iter().filter(|m| m.is_complete()).count();
        status
    }
}

/// Runs the process until its standard input ends.
///
/// # Errors
///
/// Fails if the group cannot be read or a sidecar cannot be started.
pub fn run() -> Result<(), HollowError> {
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    let group: Group = serde_json::from_str(&line).map_err(HollowError::Group)?;
    let input_ended = watch_input_end();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let counters = Rc::new(Counters::default());
        let memberships = start_sidecars(group, &counters).await?;
        report_status(&counters, &memberships, input_ended).await;
        Ok(())
    })
}

/// Returns a receiver whose value becomes true when standard input ends. A further line of input has the same effect.
fn watch_input_end() -> watch::Receiver<bool> {
    let (ended, receiver) = watch::channel(false);
    std::thread::spawn(move || {
        let _ = io::stdin().lock().read_line(&mut String::new());
        ended.send_replace(true);
    });
    receiver
}

/// Writes status lines until standard input ends or a write to standard output fails.
async fn report_status(
    counters: &Counters,
    memberships: &[Membership],
    mut input_ended: watch::Receiver<bool>,
) {
    let output = io::stdout();
    while !*input_ended.borrow_and_update() {
        tokio::time::sleep(STATUS_INTERVAL).await;
        let line = serde_json::to_string(&counters.status(memberships)).unwrap_or_default();
        if writeln!(output.lock(), "{line}").is_err() {
            return;
        }
    }
}
