//! The admin listener: operators send one command on each connection and get one response. What they order holds
//! until they revoke it.

pub mod command;
pub mod connection;
pub mod response;
pub mod state;
pub mod state_file;
pub mod statistics;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Listener, Runtime, TaskHandle, lingering_close, timeout};

use self::command::Command;
use self::connection::{ReadError, read_line, write_all};
use self::response::{CommandError, Response};
use self::state::{AdminState, ChangeError};
use self::state_file::{StateFile, StateFileError};
use self::statistics::{ClassCounts, Statistics, TierStatistics};
use super::config::stable_hash;
use super::driver::{Driver, EndpointCounts};
use super::ingress::Ingress;
use super::live::LiveConfig;
use super::status::Status;
use crate::api::ServerId;

/// Connections of operators at once; the oldest is closed for another. They come out of the descriptors that
/// `budget` reserves for the program itself.
const MAX_CONNECTIONS: usize = 8;
/// How long a caller may take to send its line, and then to take the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection is read on after its response, so that the response is not lost in a reset.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// How many bytes are read on at the most.
const LINGER_BYTES: usize = 4096;
/// How often the state file is checked for changes of another process.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The pause before the predecessor is told again that this process serves, after a failure.
const ANNOUNCEMENT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The pause before accepting again after a failure.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves operators, and puts what they order in force.
pub struct Admin<P: Runtime> {
    driver: Rc<Driver<P>>,
    ingress: Rc<Ingress<P>>,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    /// Where the state is stored; without it the state ends with the process.
    state_file: Option<StateFile>,
    state: RefCell<AdminState>,
    /// Distinguishes this process from all others that write the same file.
    process_id: u64,
    /// Tasks of open connections, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, P::TaskHandle>>,
    next_connection: Cell<u64>,
}

impl<P: Runtime> Admin<P> {
    /// Puts the stored state in force.
    pub fn new(
        driver: Rc<Driver<P>>,
        ingress: Rc<Ingress<P>>,
        live: Rc<LiveConfig>,
        status: Rc<Status>,
        state_file: Option<StateFile>,
    ) -> Rc<Admin<P>> {
        let admin = Rc::new(Admin {
            driver,
            ingress,
            live,
            status,
            state_file,
            state: RefCell::default(),
            // Process numbers are ambiguous where each process has its own namespace; two processes of one sidecar
            // do not start at the same nanosecond.
            process_id: P::unix_time().as_nanos() as u64,
            connections: RefCell::default(),
            next_connection: Cell::new(0),
        });
        admin.poll_state_file();
        admin
    }

    /// Puts in force what another process has written since the last call.
    fn poll_state_file(&self) {
        match self.state_file.as_ref().map(StateFile::read_if_changed) {
            Some(Ok(Some(state))) => self.set_state(state),
            Some(Err(error)) => tracing::error!(%error, "failed to read admin state file"),
            None | Some(Ok(None)) => {}
        }
    }

    fn set_state(&self, state: AdminState) {
        if *self.state.borrow() == state {
            return;
        }
        tracing::info!(
            disabled_servers = ?state.disabled_servers,
            drained = state.drained,
            "admin state changed"
        );
        self.driver
            .set_drained_by_operator(state.disabled_servers.iter().map(|name| server_id(name)));
        self.ingress.set_drained(state.drained);
        *self.state.borrow_mut() = state;
    }

    /// Watches for changes that another process writes; never ends.
    pub async fn watch(self: Rc<Admin<P>>) {
        loop {
            P::sleep(STATE_POLL_INTERVAL).await;
            self.poll_state_file();
        }
    }

    /// Stores that this process serves from now on, so that its predecessor leaves its clients to it. Returns after
    /// the first attempt; a failed one is repeated in the background.
    pub async fn announce_serving(self: &Rc<Self>) {
        if self.try_announce_serving().await {
            return;
        }
        let admin = self.clone();
        P::spawn(async move {
            loop {
                P::sleep(ANNOUNCEMENT_RETRY_DELAY).await;
                if admin.try_announce_serving().await {
                    return;
                }
            }
        });
    }

    /// Whether the announcement is stored.
    async fn try_announce_serving(&self) -> bool {
        let process_id = self.process_id;
        let announced = self.change_state(|state| {
            state.serving_process = Some(process_id);
            Ok(())
        });
        let announced = announced.await;
        if let Err(error) = &announced {
            tracing::error!(%error, "failed to announce readiness to the predecessor");
        }
        announced.is_ok()
    }

    /// Whether another process has announced since that it serves.
    pub fn is_succeeded(&self) -> bool {
        self.poll_state_file();
        self.state.borrow().serving_process.is_some_and(|id| id != self.process_id)
    }

    async fn change_state(
        &self,
        change: impl Fn(&mut AdminState) -> Result<(), ChangeError>,
    ) -> Result<(), StateFileError> {
        let state = match &self.state_file {
            Some(file) => file.update::<P>(change).await?,
            None => {
                let mut state = self.state.borrow().clone();
                change(&mut state)?;
                state
            }
        };
        self.set_state(state);
        Ok(())
    }

    /// Accepts operators; never ends.
    pub async fn listen(self: Rc<Admin<P>>, listener: P::Listener) {
        if let Ok(address) = listener.local_addr() {
            tracing::info!(%address, "admin listener started");
        }
        loop {
            match listener.accept().await {
                Ok((socket, _)) => self.spawn_connection(socket),
                Err(error) => {
                    tracing::warn!(%error, "failed to accept admin connection");
                    P::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    fn spawn_connection(self: &Rc<Admin<P>>, socket: P::Tcp) {
        // Callers that connect and send nothing must not keep others out.
        if self.connections.borrow().len() >= MAX_CONNECTIONS
            && let Some((_, oldest)) = self.connections.borrow_mut().pop_first()
        {
            oldest.abort();
        }
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let admin = self.clone();
        let task = P::spawn(async move {
            admin.serve(&socket).await;
            admin.connections.borrow_mut().remove(&number);
        });
        self.connections.borrow_mut().insert(number, task);
    }

    async fn serve(&self, socket: &P::Tcp) {
        let response = match self.handle(socket).await {
            Ok(response) => response,
            Err(error) => Response::Error(error),
        };
        let text = response.to_string();
        let _ = timeout::<P, _>(CALL_TIMEOUT, write_all::<P>(socket, text.as_bytes())).await;
        lingering_close::<P>(socket, LINGER_TIMEOUT, LINGER_BYTES).await;
    }

    /// Reads a command and carries it out.
    async fn handle(&self, socket: &P::Tcp) -> Result<Response, CommandError> {
        let line = timeout::<P, _>(CALL_TIMEOUT, read_line::<P>(socket)).await;
        let line = line.map_err(|_| ReadError::TimedOut)??;
        let command = Command::parse(&line)?;
        self.execute(&command).await
    }

    async fn execute(&self, command: &Command) -> Result<Response, CommandError> {
        match command {
            Command::Ready if self.ingress.is_ready() => Ok(Response::Done),
            Command::Ready if self.ingress.drained_for().is_some() => Err(CommandError::Drained),
            Command::Ready => Err(CommandError::NoServers),
            Command::ShowStat => Ok(Response::Statistics(self.statistics().into())),
            Command::ShowEvents => Ok(Response::Events(self.status.events.snapshot())),
            Command::ShowDiscovery => {
                Ok(Response::Discovery(self.status.discovery.snapshot(P::now())))
            }
            Command::ShowTier => {
                let tier = self.driver.gossip().ok_or(CommandError::NoTier)?;
                Ok(Response::Members(tier.members()))
            }
            Command::DisableServer(_)
            | Command::EnableServer(_)
            | Command::Drain
            | Command::Resume => {
                let is_listed = |name: &str| self.driver.is_listed(server_id(name));
                self.change_state(|state| state.apply(command, is_listed)).await?;
                tracing::info!(?command, "admin command executed");
                Ok(Response::Done)
            }
        }
    }

    fn statistics(&self) -> Statistics {
        let EndpointCounts { listed, ejected } = self.driver.endpoint_counts();
        Statistics {
            classes: self.class_counts(),
            attempts: self.status.attempts(),
            active_requests: self.driver.open_requests(),
            listed_servers: listed,
            ejected_servers: ejected,
            max_servers: self.live.max_servers(),
            oversized_lists: self.status.oversized_lists(),
            reloads: self.status.reload_counts(),
            tier: self.tier_statistics(),
        }
    }

    fn class_counts(&self) -> Vec<ClassCounts> {
        let names = self.live.names();
        let mut classes: Vec<_> = names.classes.iter().collect();
        classes.sort_unstable_by_key(|(_, class)| class.index);
        let counts = |(name, class): (&String, &super::config::ClassName)| ClassCounts {
            name: name.clone(),
            counts: self.status.class_request_counts(class.index),
        };
        classes.into_iter().map(counts).collect()
    }

    fn tier_statistics(&self) -> Option<TierStatistics> {
        let tier = self.driver.gossip()?;
        let tenant_names = self.live.names().tenant_names();
        Some(TierStatistics { snapshot: tier.snapshot(), tenant_names })
    }
}

fn server_id(name: &str) -> ServerId {
    ServerId(stable_hash(name.as_bytes()))
}
