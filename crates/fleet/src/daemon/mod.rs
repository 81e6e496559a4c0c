//! The event loop of the daemon. It collects status reports, signals and requests, passes the observed
//! state to the planner and carries out its actions.

mod actions;
mod adoption;
mod error;
mod event;
mod instance;
mod listeners;
mod requests;
mod rollout;
mod status;

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use instance_status::{InstanceStatus, MAX_DATAGRAM_BYTES, SupervisorSocket};
use runtime::signals::{Signal, SignalReceiver};
use rustix::process::{Resource, getrlimit, setrlimit};
use tokio::net::UnixDatagram;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::control::{self, PendingRequest};
use crate::planner::{FleetPolicy, Planner, ProcessId, Shutdown, Subject};
use crate::socket_holder::SocketHolder;
use crate::state::PersistentState;
use crate::state_directory::StateDirectory;
use event::FleetEvent;
use instance::InstanceProcess;
use listeners::{BlockedSlot, Listener};
use rollout::CheckOutcome;

pub use error::DaemonError;

/// The interval of reconciliations when there are no events.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of heartbeats to the daemon's own supervisor.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The times since the daemon's start at which it looks for instances again. A previous daemon may
/// just have started some that could not be identified yet.
const LATE_ADOPTION_TIMES: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(5)];
/// The number of requests of operators that may wait for the event loop.
const REQUEST_QUEUE_LENGTH: usize = 16;
/// The name, in the state directory, of the socket to which instances send their status.
const STATUS_SOCKET_NAME: &str = "notify.sock";

struct Daemon {
    /// The daemon's start, from which all times are measured.
    clock: Instant,
    /// The path of `fleet.toml`.
    file: PathBuf,
    directory: StateDirectory,
    state: PersistentState,
    planner: Planner,
    socket_holder: Option<SocketHolder>,
    /// The listeners by the names that the socket holder has for them.
    listeners: BTreeMap<String, Listener>,
    processes: BTreeMap<ProcessId, InstanceProcess>,
    last_process_id: u64,
    blocked_slots: BTreeMap<String, BlockedSlot>,
    /// The last error of the daemon itself, for the status. It is cleared when the state is stored.
    fault: Option<String>,
    /// Whether the state in memory may differ from the stored one.
    unsaved: bool,
    /// Whether a candidate for the target is being checked.
    checking: bool,
    shutdown: Option<Shutdown>,
    supervisor: Option<SupervisorSocket>,
    log_environment: Vec<(&'static str, String)>,
    last_heartbeat_at: Duration,
    check_outcomes: mpsc::UnboundedSender<CheckOutcome>,
}

/// The signals that the daemon handles.
const SIGNALS: [Signal; 4] = [Signal::Child, Signal::HangUp, Signal::Terminate, Signal::Interrupt];

/// The events that the event loop waits for, beside its timer.
struct EventSources {
    signals: SignalReceiver,
    status_socket: UnixDatagram,
    requests: mpsc::Receiver<PendingRequest>,
    check_outcomes: mpsc::UnboundedReceiver<CheckOutcome>,
}

/// Runs the daemon until it is told to stop and all instances have ended. The desired state is read
/// from `file`, and the daemon's own state is kept in `state_directory`. `log_environment` has the
/// environment variables that make instances log like the daemon.
///
/// # Errors
///
/// When the daemon cannot start.
///
/// # Panics
///
/// Outside of a tokio `LocalSet`.
pub async fn run(
    file: &Path,
    state_directory: &Path,
    log_environment: Vec<(&'static str, String)>,
) -> Result<(), DaemonError> {
    let clock = Instant::now();
    raise_descriptor_limit();
    let directory = StateDirectory::open(state_directory)?;
    let signals = SignalReceiver::register(&SIGNALS)?;
    let (sender, check_outcomes) = mpsc::unbounded_channel();
    let mut daemon = Daemon::new(clock, file, directory, log_environment, sender)?;
    daemon.initialize()?;
    let status_socket = daemon.bind_status_socket()?;
    let requests = daemon.serve_operators()?;
    daemon.notify_supervisor("READY=1");
    let state = daemon.directory.path().display();
    tracing::info!(file = %file.display(), %state, "reconciling");
    daemon.handle_events(EventSources { signals, status_socket, requests, check_outcomes }).await;
    daemon.remove_sockets();
    Ok(())
}

/// Raises the soft limit of file descriptors to the hard limit. Each of a thousand instances needs two
/// listeners, a pidfd and its copy, which is more than the soft limit of most hosts.
fn raise_descriptor_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    let _ = setrlimit(Resource::Nofile, limit);
}

impl Daemon {
    fn new(
        clock: Instant,
        file: &Path,
        directory: StateDirectory,
        log_environment: Vec<(&'static str, String)>,
        check_outcomes: mpsc::UnboundedSender<CheckOutcome>,
    ) -> Result<Daemon, DaemonError> {
        let state = directory.load()?;
        Ok(Daemon {
            clock,
            file: file.to_owned(),
            directory,
            state,
            planner: Planner::new(FleetPolicy::default(), rand::random()),
            socket_holder: None,
            listeners: BTreeMap::new(),
            processes: BTreeMap::new(),
            last_process_id: 0,
            blocked_slots: BTreeMap::new(),
            fault: None,
            unsaved: false,
            checking: false,
            shutdown: None,
            supervisor: SupervisorSocket::from_env(),
            log_environment,
            last_heartbeat_at: Duration::ZERO,
            check_outcomes,
        })
    }

    fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    fn bind_status_socket(&self) -> Result<UnixDatagram, DaemonError> {
        let path = self.directory.file(STATUS_SOCKET_NAME);
        let _ = std::fs::remove_file(&path);
        UnixDatagram::bind(&path).map_err(|source| DaemonError::Bind { path, source })
    }

    fn serve_operators(&self) -> Result<mpsc::Receiver<PendingRequest>, DaemonError> {
        let path = self.directory.file(control::SOCKET_NAME);
        let (sender, requests) = mpsc::channel(REQUEST_QUEUE_LENGTH);
        match control::serve(&path, sender) {
            Ok(()) => Ok(requests),
            Err(source) => Err(DaemonError::Bind { path, source }),
        }
    }

    fn remove_sockets(&self) {
        for name in [control::SOCKET_NAME, STATUS_SOCKET_NAME] {
            let _ = std::fs::remove_file(self.directory.file(name));
        }
    }

    /// Handles events until the shutdown of the fleet is complete.
    async fn handle_events(&mut self, mut sources: EventSources) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut late_adoptions = LATE_ADOPTION_TIMES.into_iter().peekable();
        let EventSources { signals, status_socket, requests, check_outcomes } = &mut sources;
        loop {
            tokio::select! {
                _ = tick.tick() => self.handle_tick(status_socket),
                signal = signals.next() => self.handle_signal(signal),
                Ok(length) = status_socket.recv(&mut datagram) => {
                    // Reports arrive in large numbers, and few of them require a reconciliation.
                    let first_changed = self.receive_status(&datagram[..length]);
                    let others_changed = self.receive_statuses(status_socket);
                    if !first_changed && !others_changed {
                        continue;
                    }
                }
                Some(outcome) = check_outcomes.recv() => self.finish_check(outcome),
                Some(request) = requests.recv() => self.handle_request(request),
            }
            if late_adoptions.next_if(|at| self.clock.elapsed() >= *at).is_some() {
                self.adopt_instances();
            }
            self.reconcile();
            if self.shutdown.is_some() && self.processes.is_empty() {
                return;
            }
        }
    }

    fn handle_signal(&mut self, signal: Signal) {
        match signal {
            // An adopted process is not a child; its exit is noticed at the next tick.
            Signal::Child => self.remove_ended_processes(),
            Signal::HangUp => self.reload(None),
            Signal::Terminate | Signal::Interrupt => self.begin_shutdown(),
            Signal::UserDefined2 => {}
        }
    }

    fn handle_tick(&mut self, status_socket: &UnixDatagram) {
        self.send_heartbeat();
        self.remove_ended_processes();
        if self.unsaved {
            // A failure is logged and shown in the status.
            let _ = self.persist();
        }
        // If the daemon itself got no processor time, reports are unread, and the processes that sent
        // them are not silent.
        self.receive_statuses(status_socket);
        let now = self.now();
        for process in self.processes.values_mut() {
            process.detect_stall(now);
        }
    }

    /// Reads all waiting reports. Returns whether one of them requires a reconciliation.
    fn receive_statuses(&mut self, status_socket: &UnixDatagram) -> bool {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut changed = false;
        while let Ok(length) = status_socket.try_recv(&mut datagram) {
            changed |= self.receive_status(&datagram[..length]);
        }
        changed
    }

    /// Stores a report. Returns whether it requires a reconciliation. Reports of processes that are not
    /// instances are ignored.
    fn receive_status(&mut self, datagram: &[u8]) -> bool {
        let Some(status) = InstanceStatus::from_datagram(datagram) else { return false };
        let now = self.now();
        let mut processes = self.processes.values_mut();
        let sender = processes.find(|process| process.process.pid == status.pid);
        sender.is_some_and(|process| process.update(now, status))
    }

    /// Notifies the daemon's own supervisor, if it has one.
    fn notify_supervisor(&self, fields: &str) {
        if let Some(supervisor) = &self.supervisor {
            supervisor.send(fields);
        }
    }

    /// Sends the supervisor a heartbeat if one is due.
    fn send_heartbeat(&mut self) {
        let now = self.now();
        if now.saturating_sub(self.last_heartbeat_at) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat_at = now;
            self.notify_supervisor("WATCHDOG=1");
        }
    }

    /// Stores the state. A failure is logged and shown in the status, and the next tick tries again.
    fn persist(&mut self) -> io::Result<()> {
        let result = self.directory.store(&self.state);
        self.unsaved = result.is_err();
        self.fault = None;
        if let Err(error) = &result {
            tracing::error!(%error, "failed to persist state");
            self.fault = Some(format!("the state cannot be kept: {error}"));
        }
        result
    }

    /// Begins a graceful shutdown, or an immediate one if a shutdown has already begun.
    fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            self.shutdown = Some(Shutdown::Immediate);
            return;
        }
        self.shutdown = Some(Shutdown::Graceful);
        self.notify_supervisor("STOPPING=1");
        self.record(&Subject::Fleet, &FleetEvent::ShutdownBegun);
        // From now on only the instances have the listeners. New connections are accepted as long as
        // they accept them, and refused afterwards.
        self.listeners.clear();
        if let Some(holder) = self.socket_holder.take() {
            holder.quit();
        }
    }
}
