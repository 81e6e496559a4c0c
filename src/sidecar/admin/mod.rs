//! The admin listener. Operators send one command on each connection and get one response. Changes that they make stay
//! in effect until they are reverted.

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

/// Maximum number of simultaneous admin connections. The oldest is closed when another is accepted. Their descriptors
/// belong to those that `budget` reserves for the program itself.
const MAX_CONNECTIONS: usize = 8;
/// Timeout for receiving a command, and another for sending the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which input is read and discarded after the response, since unread input would reset the connection and
/// the response would be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are discarded after the response.
const LINGER_BYTES: usize = 4096;
/// Interval at which the state file is checked for changes by other processes.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed announcement to the predecessor is repeated.
const ANNOUNCEMENT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Serves admin connections and applies the changes made by operators.
pub struct Admin<P: Runtime> {
    driver: Rc<Driver<P>>,
    ingress: Rc<Ingress<P>>,
    live: Rc<LiveConfig>,
    status: Rc<Status>,
    /// Stores the state; `None` if the state ends with the process.
    state_file: Option<StateFile>,
    state: RefCell<AdminState>,
    /// Distinguishes this process from all others that write the same state file.
    process_token: u64,
    /// Tasks of open connections by number, which is the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, P::TaskHandle>>,
    next_connection: Cell<u64>,
}

impl<P: Runtime> Admin<P> {
    /// Creates the admin interface and applies the stored state.
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
            // A pid is ambiguous if each process has its own PID namespace, but two processes of one sidecar do not
            // start in the same nanosecond.
            process_token: P::unix_time().as_nanos() as u64,
            connections: RefCell::default(),
            next_connection: Cell::new(0),
        });
        admin.poll_state_file();
        admin
    }

    /// Applies changes that another process has stored since the last call.
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

    /// Applies changes that other processes store; never returns.
    pub async fn watch(self: Rc<Admin<P>>) {
        loop {
            P::sleep(STATE_POLL_INTERVAL).await;
            self.poll_state_file();
        }
    }

    /// Announces in the state file that this process serves, so that its predecessor hands its clients over. Returns
    /// after the first attempt. If that fails, the announcement is repeated in the background.
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

    /// Stores the announcement. Returns whether that succeeded.
    async fn try_announce_serving(&self) -> bool {
        let process_token = self.process_token;
        let announced = self.change_state(|state| {
            state.serving_process = Some(process_token);
            Ok(())
        });
        let announced = announced.await;
        if let Err(error) = &announced {
            tracing::error!(%error, "failed to announce readiness to the predecessor");
        }
        announced.is_ok()
    }

    /// Whether another process has announced that it serves since this one did.
    pub fn has_successor(&self) -> bool {
        self.poll_state_file();
        self.state.borrow().serving_process.is_some_and(|token| token != self.process_token)
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

    /// Accepts admin connections; never returns.
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
        // Clients that connect and send nothing must not block others.
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

    /// Reads and executes a command.
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
            Command::ShowMemory => Ok(Response::Memory(self.status.memory.snapshot())),
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
        let counts = |(name, class): (&String, &super::config::RequestClass)| ClassCounts {
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
