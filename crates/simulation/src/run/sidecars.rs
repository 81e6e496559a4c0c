//! The processes of the sidecars: configuration, start, termination and restart.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fakes::account::Class;
use fakes::world::{ZONES, settings};
use lb_sidecar::sidecar::{self, Control, Sockets, config::Config};
use rand::Rng;
use runtime::UnknownMemory;
use serde_json::{Value, json};
use simnet::{HostFailure, HostId, SimListener, SimRuntime, SimUdp};
use tokio::sync::{Notify, mpsc};

use super::addresses::{admin_address, discovery_address, gossip_address, sidecar_address};
use super::{HeldResources, SUPERVISION_INTERVAL, Simulation};
use crate::oracle::Rule;

/// The time beyond the longest deadline within which a sidecar that was asked to terminate has ended.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// The time after its end at which a sidecar is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The number of connections of clients that may wait to be accepted.
const CLIENT_BACKLOG: usize = 4096;
/// The number of connections of operators that may wait to be accepted.
const ADMIN_BACKLOG: usize = 64;

/// The process of a sidecar.
pub(super) struct SidecarProcess {
    pub(super) index: usize,
    pub(super) host: HostId,
    pub(super) address: SocketAddr,
    /// Notifies it to terminate.
    pub(super) stop: Rc<Notify>,
    /// Notifies it to reload its configuration.
    pub(super) reload: mpsc::Sender<()>,
    /// The text of the configuration that it reads at the next reload.
    pub(super) config: Rc<RefCell<String>>,
    /// The text of the configuration that it was started with.
    pub(super) initial_config: String,
    /// Whether its main task has ended.
    pub(super) ended: Rc<Cell<bool>>,
    pub(super) running: bool,
    /// When it was asked to terminate; `None` if it was not.
    pub(super) terminating_since: Option<Duration>,
    /// When it is started again; `None` if it runs.
    pub(super) restart_at: Option<Duration>,
}

impl SidecarProcess {
    /// Creates a process that has not been started yet.
    pub(super) fn new(index: usize, host: HostId, address: SocketAddr) -> SidecarProcess {
        let (reload, _) = mpsc::channel(1);
        SidecarProcess {
            index,
            host,
            address,
            stop: Rc::new(Notify::new()),
            reload,
            config: Rc::default(),
            initial_config: String::new(),
            ended: Rc::default(),
            running: false,
            terminating_since: None,
            restart_at: None,
        }
    }

    /// Records that it has ended, and when it is started again.
    pub(super) fn mark_ended(&mut self, restart_at: Duration) {
        self.running = false;
        self.terminating_since = None;
        self.restart_at = Some(restart_at);
    }

    /// Asks it to terminate.
    pub(super) fn terminate(&mut self, now: Duration) {
        self.terminating_since = Some(now);
        self.stop.notify_one();
    }
}

/// The addresses that a sidecar listens on.
struct ListenAddresses {
    clients: SocketAddr,
    gossip: Option<SocketAddr>,
    admin: Option<SocketAddr>,
}

impl ListenAddresses {
    /// Opens the sockets on the host of the running task.
    fn bind(&self) -> std::io::Result<Sockets<SimRuntime>> {
        let listener = SimListener::bind(self.clients, CLIENT_BACKLOG)?;
        let peers = self.gossip.map(SimUdp::bind).transpose()?;
        let bind_admin = |address| SimListener::bind(address, ADMIN_BACKLOG);
        let admin = self.admin.map(bind_admin).transpose()?;
        Ok(Sockets {
            listener,
            listener_shared: false,
            peers,
            admin,
            admin_state_file: None,
            request_id_log: None,
        })
    }
}

/// Returns the time within which a sidecar that was asked to terminate has ended.
pub(super) fn termination_time(classes: &[Class]) -> Duration {
    let longest = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    longest + SHUTDOWN_MARGIN
}

impl Simulation<'_> {
    /// Returns the text of the configuration of a sidecar.
    fn configuration(&mut self, index: usize) -> String {
        let scenario = self.scenario;
        let seed: u64 = self.rng.random();
        let mut config = json!({
            "name": format!("n{index}"),
            "listen": sidecar_address(index).to_string(),
            "discovery": discovery_address().to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": scenario.sockets},
            "settings": self.settings(index),
        });
        if scenario.endpoints_cached {
            let cached = self.discovery.snapshot();
            config["known"] = serde_json::from_str(&cached).unwrap_or_default();
        }
        if scenario.sidecars > 1 {
            let peers = (0..scenario.sidecars).map(|peer| gossip_address(peer).to_string());
            config["peer_listen"] = json!(gossip_address(index).to_string());
            config["peers"] = json!(peers.collect::<Vec<_>>());
            if scenario.gossip {
                config["tier"] = json!({"turn_ms": 100});
            }
        }
        config.to_string()
    }

    /// Returns the platform settings of a sidecar.
    fn settings(&self, index: usize) -> Value {
        let scenario = self.scenario;
        let mut settings = settings(&self.classes);
        settings["me"] = json!(index);
        settings["instances"] = json!(scenario.sidecars);
        settings["zone"] = json!(index % ZONES.len());
        settings["discovery"] =
            json!(if scenario.discovery_polled { "on_request" } else { "pushed" });
        settings["limits"]["cancel"] = json!(scenario.cancellation);
        settings["limits"]["connectTimeout"] = json!(scenario.connect_timeout_ms * 1000);
        settings["limits"]["mayTell"] = json!(scenario.sidecars > 1);
        settings
    }

    /// Starts or restarts a sidecar.
    pub(super) fn start_sidecar(&mut self, index: usize) {
        let text = self.configuration(index);
        let now = self.now();
        let sidecar = &mut self.sidecars[index];
        let (reload_sender, reload) = mpsc::channel(1);
        sidecar.config = Rc::new(RefCell::new(text.clone()));
        sidecar.initial_config.clone_from(&text);
        sidecar.stop = Rc::new(Notify::new());
        sidecar.ended = Rc::default();
        sidecar.reload = reload_sender;
        sidecar.running = true;
        sidecar.terminating_since = None;
        sidecar.restart_at = None;
        let (config, stop, ended) =
            (sidecar.config.clone(), sidecar.stop.clone(), sidecar.ended.clone());
        let addresses = ListenAddresses {
            clients: sidecar.address,
            gossip: (self.scenario.sidecars > 1).then(|| gossip_address(index)),
            admin: self.operators.as_ref().map(|_| admin_address(index)),
        };
        let host = sidecar.host;
        self.world.set_socket_limit(host, self.scenario.sockets);
        self.oracle.borrow_mut().sidecar_started(now, index);
        self.discovery.update_agents(now, index..index + 1);
        self.world.spawn(host, async move {
            let parsed = Config::parse(text.as_bytes());
            if let (Ok(parsed), Ok(sockets)) = (parsed, addresses.bind()) {
                let read = move || Config::parse(config.borrow().as_bytes());
                let control = Control {
                    stop: async move { stop.notified().await },
                    hand_over: std::future::pending(),
                    reload,
                    read,
                    memory: Rc::new(UnknownMemory),
                };
                let _ = sidecar::serve(parsed, sockets, control).await;
            }
            ended.set(true);
        });
    }

    /// Restarts sidecars that have ended, and reports those that ended without being asked, or not in time.
    pub(super) fn supervise_sidecars(&mut self) {
        let now = self.now();
        // A sidecar that is held up when it is asked to terminate notices that later.
        let termination_limit = termination_time(&self.classes)
            + self.scenario.longest_hold_up()
            + SUPERVISION_INTERVAL;
        for index in 0..self.sidecars.len() {
            let sidecar = &self.sidecars[index];
            let terminating_since = sidecar.terminating_since;
            if sidecar.running && sidecar.ended.get() {
                if terminating_since.is_none() {
                    let message = format!("sidecar {index} ended without being asked to");
                    self.oracle.borrow_mut().violate(now, Rule::Crash, message);
                }
                // The clients notice the loss of the requests that it has not answered.
                self.world.kill(sidecar.host, HostFailure::ProcessKilled);
                self.oracle.borrow_mut().count("graceful shutdowns");
                self.sidecars[index].mark_ended(now + RESTART_DELAY);
            } else if terminating_since.is_some_and(|since| now > since + termination_limit) {
                let message = format!("sidecar {index} has not terminated in time");
                self.oracle.borrow_mut().violate(now, Rule::End, message);
            }
            if self.sidecars[index].restart_at.is_some_and(|at| now >= at) {
                self.start_sidecar(index);
            }
        }
    }

    /// Returns the resources that a sidecar holds.
    pub(super) fn held_resources(&self, sidecar: &SidecarProcess) -> HeldResources {
        HeldResources {
            tasks: self.world.task_count(sidecar.host),
            sockets: self.world.open_sockets(sidecar.host),
        }
    }
}
