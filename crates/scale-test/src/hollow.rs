//! A process of hollow sidecars.
//!
//! It reads its [`Group`] from standard input, and writes its [`GroupStatus`] to standard output at regular times. It
//! ends with its standard input. Both ends are always of the same version: a run starts its own executable.

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
    /// Its name, and that of its host.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The number of the service that it is a client of.
    pub service: usize,
    /// Its configuration without what is distributed. Its discovery is replaced by one of this process.
    pub config: Value,
}

/// The hollow sidecars of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Group {
    /// The sidecars.
    pub sidecars: Vec<HollowSidecar>,
    /// The names and addresses of the control servers of their region.
    pub control_servers: Vec<(String, SocketAddr)>,
    /// The number of servers of each service, which is the length of its endpoint list.
    pub servers_per_service: usize,
    /// The seed of everything that is drawn.
    pub seed: u64,
}

/// The state of all hollow sidecars of a process.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct GroupStatus {
    /// By generation: in how many sidecars it, or a later one, is in force, and when the last of them applied it, in
    /// microseconds of Unix time.
    pub in_force: BTreeMap<Generation, (usize, u64)>,
    /// Configurations that were rejected.
    pub rejected: u64,
    /// Endpoint lists that were received.
    pub endpoint_lists: u64,
    /// Sidecars that know all of their gossip peers.
    pub complete_memberships: usize,
    /// How often an older generation replaced a newer one.
    pub regressions: u64,
}

/// Why a process of hollow sidecars could not run.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Standard input is no group.
    #[error("a crowd expected: {0}")]
    Group(serde_json::Error),
    /// The discovery of a service could not be started.
    #[error("an agent: {0}")]
    Discovery(io::Error),
    /// A gossip address could not be bound.
    #[error("{address}: {source}")]
    GossipSocket {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A sidecar's configuration is invalid.
    #[error("{sidecar}: {reason}")]
    Configuration {
        /// The sidecar's name.
        sidecar: String,
        /// What is wrong.
        reason: String,
    },
    /// A sidecar cannot gossip.
    #[error("{0}")]
    Gossip(String),
}

/// The counts that all sidecars of the process share.
#[derive(Default)]
struct Counters {
    status: RefCell<GroupStatus>,
    /// Apart from the status, which may be borrowed when a list is received.
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
/// When the group cannot be read, or a sidecar not started.
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

/// A receiver that becomes true when standard input ends.
fn watch_input_end() -> watch::Receiver<bool> {
    let (ended, receiver) = watch::channel(false);
    std::thread::spawn(move || {
        let _ = io::stdin().lock().read_line(&mut String::new());
        ended.send_replace(true);
    });
    receiver
}

/// Writes lines of status until standard input ends, or nobody reads them any more.
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
