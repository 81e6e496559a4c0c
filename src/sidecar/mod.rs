//! The sidecar on real sockets: clients on one side, servers on the other, and discovery and the
//! other sidecars beside them. All decisions are made by [`crate::balancer`]; `driver` is the only
//! module here that talks to it.

pub mod admin;
pub mod body;
pub mod budget;
pub mod config;
pub mod discovery;
pub mod discovery_status;
pub mod driver;
pub mod events;
pub mod execution;
pub mod framing;
pub mod gossip;
pub mod ingress;
pub mod inherited_listener;
pub mod invariants;
pub mod live;
pub mod notify;
pub mod peers;
pub mod reload;
mod request_ids;
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

use runtime::{Runtime, TokioRuntime};
use tokio::sync::{Notify, mpsc, watch};

use self::admin::state_file::StateFile;
use self::config::{Config, ConfigError};
use self::reload::Targets;
use self::startup::{Components, Serving, StartError};

/// What controls the sidecar from outside while it runs.
pub struct Control<S, H, R> {
    /// Completes when the sidecar is to shut down.
    pub stop: S,
    /// Completes when a successor on the same listener accepts what comes from now on.
    pub hand_over: H,
    /// A message for each time that the configuration is to be reloaded.
    pub reload: mpsc::Receiver<()>,
    /// Reads the configuration again.
    pub read: R,
}

/// The sockets that a sidecar is started with.
pub struct Sockets<P: Runtime> {
    /// Where clients connect.
    pub listener: P::Listener,
    /// A predecessor accepts on the same listener, until this sidecar can serve.
    pub listener_shared: bool,
    /// Where datagrams of other sidecars arrive, if they may.
    pub peers: Option<P::Udp>,
    /// Where operators connect, if they may.
    pub admin: Option<P::Listener>,
    /// Where the admin state is stored, for this process and those before and after it.
    pub admin_state_file: Option<StateFile>,
}

/// Runs the sidecar on the real system until it is told to shut down and all admitted requests are
/// served.
///
/// # Errors
///
/// When a socket cannot be had, or the configuration cannot be used.
pub async fn run<S, H, R>(config: Config, control: Control<S, H, R>) -> Result<(), StartError>
where
    S: Future<Output = ()>,
    H: Future<Output = ()>,
    R: Fn() -> Result<Config, ConfigError>,
{
    let sockets = Sockets::<TokioRuntime>::bind(&config)?;
    serve(config, sockets, control).await
}

/// Runs the sidecar on the sockets that it is given.
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
    let Sockets { listener, listener_shared, peers, admin, admin_state_file } = sockets;
    let components = Components::<P>::new(&config, peers)?;
    let how = config.settings.discovery;
    let stop_sending_within = Duration::from_micros(config.settings.rules.drain_deadline);
    let (to_discovery, calls) = mpsc::unbounded_channel();
    let driver = components.driver(config.settings, config.seed, to_discovery);
    let ingress = components.ingress(driver.clone(), config.name);
    let admin = admin.map(|at| components.start_admin(at, &driver, &ingress, admin_state_file));

    startup::restore_server_list(&driver, config.cached_endpoints.as_ref(), how);
    let version = config.cached_endpoints.as_ref().map_or(0, |known| known.version);
    let discovery_attempted = Rc::new(Notify::new());
    let (discovery_address, at) = watch::channel(config.discovery);
    let attempted = discovery_attempted.clone();
    let status = components.status.clone();
    let discovery =
        discovery::Discovery::<P>::new(at, how, stop_sending_within, version, attempted, status);
    P::spawn(discovery.run(driver.clone(), calls));
    components.start_background_tasks(&driver);
    startup::log_listening::<P>(&listener)?;
    components.start_status_reports(&ingress);

    let targets = Targets {
        discovery: discovery_address,
        live: components.live.clone(),
        driver,
        socket_budget: components.socket_budget.clone(),
        body_budget: components.body_budget.clone(),
        status: components.status.clone(),
        restart_only: config.restart_only,
    };
    let Control { stop, hand_over, reload, read } = control;
    let reloading = reload::run(reload, read, targets);
    let live = components.live.clone();
    let serving = Serving { ingress, admin, live, listener, listener_shared, discovery_attempted };
    serving.run(reloading, stop, hand_over).await;
    components.status.changed.notify_one();
    Ok(())
}
