//! `lb-config`: runs an origin, a control server or a host, which together distribute sidecar configuration.
#![forbid(unsafe_code)]

mod arguments;

use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use config_distribution::documents::{Interest, is_valid_name};
use config_distribution::net::store::StoreError;
use config_distribution::net::target::{FleetDaemon, Standalone};
use config_distribution::net::{NamedAddress, control, host, origin};
use logging::Options;
use runtime::signals::{Signal, SignalError, SignalReceiver};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use arguments::{
    Arguments, ControlArguments, HostArguments, OriginArguments, Role, TargetArguments,
};

/// Exit status of a process that cannot start, or cannot store its state.
const EXIT_FAILURE: u8 = 2;

/// The error with which the process exits.
#[derive(Debug, thiserror::Error)]
enum RunError {
    /// The format or the filter of the log is not valid.
    #[error("{0}")]
    Logging(String),
    /// The runtime cannot be created.
    #[error("failed to create the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The listener cannot be bound.
    #[error("failed to listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    /// The address of the listener cannot be read.
    #[error("failed to read the listen address: {0}")]
    ListenAddress(#[source] io::Error),
    /// A signal handler cannot be registered.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// A control server's name is not valid.
    #[error(
        "invalid control server name {name:?}: 1 to 64 letters, digits, '.', '_' or '-' expected"
    )]
    InvalidServerName { name: String },
    /// The name of a host, a zone or a service is not valid.
    #[error("invalid name {name:?}: 1 to 64 letters, digits, '.', '_' or '-' expected")]
    InvalidName { name: String },
    /// The state of a control server cannot be read or written.
    #[error("{0}")]
    Store(#[from] StoreError),
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lb-config: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run(arguments: Arguments) -> Result<(), RunError> {
    start_logging(&arguments)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        match arguments.role {
            Role::Origin(arguments) => run_origin(arguments).await,
            Role::Control(arguments) => run_control(arguments).await,
            Role::Host(arguments) => until_signalled(run_host(arguments)).await,
        }
    })
}

fn start_logging(arguments: &Arguments) -> Result<(), RunError> {
    let options = Options::or_env(arguments.log_format, arguments.log_filter.clone());
    let options = options.map_err(|error| RunError::Logging(error.to_string()))?;
    options.start().map_err(|error| RunError::Logging(error.to_string()))
}

async fn run_origin(arguments: OriginArguments) -> Result<(), RunError> {
    let members = arguments.member.into_iter();
    let config = origin::Config {
        number: arguments.number,
        start_id: random_seed() as u32,
        members: members.map(|NamedAddress { name, address }| (name, address)).collect(),
    };
    let listener = bind(arguments.listen).await?;
    until_signalled(async {
        origin::run(listener, config).await;
        Ok(())
    })
    .await
}

async fn run_control(arguments: ControlArguments) -> Result<(), RunError> {
    let ControlArguments { listen, name, state, origin, other, new, memory_mb } = arguments;
    if !is_valid_name(&name) {
        return Err(RunError::InvalidServerName { name });
    }
    let others = other.into_iter().filter(|other| other.name != name);
    let peers: BTreeMap<_, _> = others.map(|other| (other.name, other.address)).collect();
    let config = control::Config {
        name,
        state_dir: state,
        origins: origin,
        peers,
        is_new_member: new,
        max_hosts: (memory_mb << 20) / control::BYTES_PER_HOST,
        seed: random_seed(),
    };
    let listener = bind(listen).await?;
    until_signalled(async { Ok(control::run(listener, config).await?) }).await
}

async fn run_host(arguments: HostArguments) -> Result<(), RunError> {
    let HostArguments { name, zone, service, control, target } = arguments;
    if let Some(name) = service.iter().chain([&name, &zone]).find(|name| !is_valid_name(name)) {
        return Err(RunError::InvalidName { name: name.clone() });
    }
    let interest = Interest { services: service.into_iter().collect(), zone: zone.clone() };
    let config = host::Config { name, interest, servers: control, seed: random_seed() };
    match target {
        TargetArguments::Standalone { base, config: file, program } => {
            host::run(config, Standalone { base, config: file, program }).await;
        }
        TargetArguments::Fleet { state, settings } => {
            let settings = settings.into_iter().map(|of| (of.service, of.settings)).collect();
            host::run(config, FleetDaemon { state_dir: state, settings, zone }).await;
        }
    }
    Ok(())
}

/// Binds a listener, and prints its address on standard output, since the system chooses the port if it is 0.
async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| RunError::Listen { address, source })?;
    let address = listener.local_addr().map_err(RunError::ListenAddress)?;
    tracing::info!(%address, "listening");
    let _ = writeln!(io::stdout(), "{address}");
    Ok(listener)
}

/// Returns a random number that differs between processes.
fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

/// Runs a role until it fails, or the process receives SIGTERM or SIGINT.
async fn until_signalled(role: impl Future<Output = Result<(), RunError>>) -> Result<(), RunError> {
    let mut signals = SignalReceiver::register(&[Signal::Terminate, Signal::Interrupt])?;
    tokio::select! {
        result = role => result,
        _ = signals.next() => Ok(()),
    }
}
