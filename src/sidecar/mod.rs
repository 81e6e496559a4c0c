//! The sidecar process: the proxy between clients and servers, with discovery and gossip with other sidecars.
//! [`crate::balancer`] makes all decisions, and only `driver` communicates with it.

pub mod adjustable_semaphore;
pub mod admin;
pub mod body;
pub mod budget;
pub mod config;
pub mod deadline;
pub mod discovery;
pub mod discovery_status;
pub mod driver;
pub mod events;
pub mod execution;
pub mod framing;
pub mod gossip;
pub mod headers;
pub mod ingress;
pub mod inherited_listener;
pub mod invariants;
pub mod live;
pub mod memory;
pub mod memory_monitor;
pub mod memory_pressure;
pub mod memory_status;
pub mod notify;
pub mod peers;
pub mod reload;
pub mod request_ids;
pub mod resource_limits;
pub mod response_end;
pub mod response_pace;
pub mod shutdown;
pub mod startup;
pub mod status;
pub mod sync_state;
mod system_error;
pub mod timers;
pub mod upload;
pub mod upstream;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use runtime::{ProcessMemory, Runtime, TokioRuntime};
use tokio::sync::{Notify, mpsc, watch};

use self::admin::state_file::StateFile;
use self::config::{Config, ConfigError};
use self::reload::Targets;
use self::request_ids::{RequestIds, SharedRequestIdLog};
use self::startup::{Components, Serving, StartError};

/// External control of a running sidecar.
pub struct Control<S, H, R> {
    /// Completes to start a graceful shutdown.
    pub stop: S,
    /// Completes to start a graceful shutdown in which a successor on the same listener accepts new connections.
    pub hand_over: H,
    /// Receives a message for each requested configuration reload.
    pub reload: mpsc::Receiver<()>,
    /// Reads the configuration for a reload.
    pub read: R,
    /// The memory of the process.
    pub memory: Rc<dyn ProcessMemory>,
}

/// The sockets and the files that a sidecar starts with.
pub struct Sockets<P: Runtime> {
    /// Accepts client connections.
    pub listener: P::Listener,
    /// The listener is inherited, and a predecessor may accept on it until this sidecar can serve.
    pub listener_shared: bool,
    /// Receives datagrams of other sidecars; `None` if they are not received.
    pub peers: Option<P::Udp>,
    /// Accepts admin connections; `None` if there is no admin listener.
    pub admin: Option<P::Listener>,
    /// Stores the admin state across replacements of the process; `None` if the state ends with the process.
    pub admin_state_file: Option<StateFile>,
    /// Shares the ids of requests with a predecessor or successor; `None` if there are no such processes.
    pub request_id_log: Option<SharedRequestIdLog>,
}

/// Binds the sockets and runs the sidecar until its graceful shutdown is complete.
///
/// # Errors
///
/// When a socket cannot be bound, or the configuration cannot be used.
pub async fn run<S, H, R>(config: Config, control: Control<S, H, R>) -> Result<(), StartError>
where
    S: Future<Output = ()>,
    H: Future<Output = ()>,
    R: Fn() -> Result<Config, ConfigError>,
{
    let sockets = Sockets::<TokioRuntime>::bind(&config)?;
    serve(config, sockets, control).await
}

/// Runs the sidecar on the given sockets until its graceful shutdown is complete.
///
/// # Errors
///
/// When its listener has no address, or the configuration cannot be used.
pub async fn serve<P, S, H, R>(
    config: Config,
    sockets: Sockets<P>,
    control: Control<S, H, R>,
) -> Result<(), StartError>
where
    P: Runtime,
    S: Future<Output = ()>,
    H: Future<Output = ()>,
    R: Fn() -> Result<Config, ConfigError>,
{
    let Sockets { listener, listener_shared, peers, admin, admin_state_file, request_id_log } =
        sockets;
    let components = Components::<P>::new(&config, peers)?;
    let discovery_mode = config.settings.discovery;
    let drain_deadline = Duration::from_micros(config.settings.rules.drain_deadline);
    let (to_discovery, calls) = mpsc::unbounded_channel();
    let driver = components.driver(config.settings, config.seed, to_discovery);
    let ingress = components.ingress(driver.clone(), config.name, RequestIds::new(request_id_log));
    let admin =
        admin.map(|listener| components.start_admin(listener, &driver, &ingress, admin_state_file));

    startup::restore_endpoint_list(&driver, config.cached_endpoints.as_ref(), discovery_mode);
    let version = config.cached_endpoints.as_ref().map_or(0, |cached| cached.version);
    let discovery_attempted = Rc::new(Notify::new());
    let (discovery_address, watched_address) = watch::channel(config.discovery);
    let attempted = discovery_attempted.clone();
    let status = components.status.clone();
    let discovery = discovery::Discovery::<P>::new(
        watched_address,
        discovery_mode,
        drain_deadline,
        version,
        attempted,
        status,
    );
    P::spawn(discovery.run(driver.clone(), calls));
    components.start_background_tasks(&driver);
    startup::log_listening::<P>(&listener)?;
    components.start_status_reports(&ingress);

    let Control { stop, hand_over, reload, read, memory } = control;
    let memory_monitor = components.start_memory_monitor(&ingress, memory);
    let targets = Targets {
        discovery: discovery_address,
        live: components.live.clone(),
        driver,
        socket_budget: components.socket_budget.clone(),
        message_memory: components.message_memory.clone(),
        memory_monitor,
        status: components.status.clone(),
        restart_only: config.restart_only,
    };
    let reloading = reload::run(reload, read, targets);
    let live = components.live.clone();
    let serving = Serving { ingress, admin, live, listener, listener_shared, discovery_attempted };
    serving.run(reloading, stop, hand_over).await;
    components.status.changed.notify_one();
    Ok(())
}
