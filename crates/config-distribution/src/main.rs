//! The roles that carry a change of configuration from the desk to all sidecars.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use config_distribution::documents::{Interest, is_name};
use config_distribution::net::{control, host, origin, place};
use logging::{Format, Options};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Carries changes of configuration to all sidecars, and tells where they are in force.
///
/// Status 0: ended by SIGTERM. 2: it could not begin, or its state cannot be kept.
#[derive(Parser)]
#[command(name = "lb-config", version)]
struct Arguments {
    /// What a line of the log looks like: text or json. Also LB_LOG_FORMAT.
    #[arg(long, global = true)]
    log_format: Option<Format>,
    /// A level, or levels by module. Also LB_LOG.
    #[arg(long = "log", global = true, value_name = "FILTER")]
    log_filter: Option<String>,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Order changes. Nothing is kept on disk: control machines have all.
    Origin {
        /// Where control machines and desks call. Port 0: the system's choice, told on standard output.
        #[arg(long)]
        listen: SocketAddr,
        /// Its own number, from 0 to 255; no other origin has it.
        #[arg(long)]
        number: u8,
        /// A control machine; once for each.
        #[arg(long, required = true, value_name = "NAME=ADDRESS", value_parser = origin::member)]
        member: Vec<(String, SocketAddr)>,
    },
    /// Keep a replica, and serve hosts.
    Control {
        /// Where hosts, origins and the other control machines call.
        #[arg(long)]
        listen: SocketAddr,
        /// Its name among the members.
        #[arg(long)]
        name: String,
        /// Where its state lies.
        #[arg(long)]
        state: PathBuf,
        /// An origin; once for each, whichever leads.
        #[arg(long, required = true)]
        origin: Vec<SocketAddr>,
        /// Another control machine; once for each.
        #[arg(long, value_name = "NAME=ADDRESS", value_parser = origin::member)]
        other: Vec<(String, SocketAddr)>,
        /// It is new: there is no state that it could have lost. Without, one that has lost its state asks the others.
        #[arg(long)]
        new: bool,
        /// Memory for hosts, in megabytes: some twenty hosts to each.
        #[arg(long, default_value_t = 128)]
        memory_mb: usize,
    },
    /// Put in force on this host what concerns it.
    Host(HostArguments),
}

#[derive(Args)]
struct HostArguments {
    /// The host's name; no other host has it.
    #[arg(long)]
    name: String,
    /// Its zone.
    #[arg(long)]
    zone: String,
    /// A service that its sidecars call; once for each.
    #[arg(long, required = true)]
    service: Vec<String>,
    /// A control machine that it may call; once for each.
    #[arg(long, required = true, value_name = "NAME=ADDRESS", value_parser = origin::member)]
    control: Vec<(String, SocketAddr)>,
    #[command(subcommand)]
    place: PlaceArguments,
}

#[derive(Subcommand)]
enum PlaceArguments {
    /// A sidecar that runs alone: its file is replaced, and it gets SIGHUP.
    Alone {
        /// The host's own part of the configuration.
        #[arg(long)]
        base: PathBuf,
        /// The file that the sidecar's LB_CONFIG names.
        #[arg(long)]
        config: PathBuf,
        /// The sidecar's program, to check every configuration with first.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// A fleet's daemon: its settings' files are replaced, and it reloads.
    Fleet {
        /// Where the daemon's state lies.
        #[arg(long)]
        state: PathBuf,
        /// A service's own settings, and the file that fleet.toml names; once for each service.
        #[arg(long, required = true, value_name = "SERVICE=BASE:FILE", value_parser = settings)]
        settings: Vec<(String, (PathBuf, PathBuf))>,
    },
}

fn settings(text: &str) -> Result<(String, (PathBuf, PathBuf)), String> {
    let parts = text.split_once('=').and_then(|(service, files)| {
        let (base, file) = files.split_once(':')?;
        Some((service.to_owned(), (base.into(), file.into())))
    });
    parts.ok_or_else(|| format!("SERVICE=BASE:FILE expected, not {text:?}"))
}

fn main() -> ExitCode {
    match begin(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lb-config: {why}");
            ExitCode::from(2)
        }
    }
}

fn begin(arguments: Arguments) -> Result<(), String> {
    Options::or_env(arguments.log_format, arguments.log_filter)?.start()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        match arguments.what {
            What::Origin { listen, number, member } => {
                let config = origin::Config {
                    number,
                    life: seed() as u32,
                    members: member.into_iter().collect(),
                };
                let listener = bind(listen).await?;
                until_told(async {
                    origin::run(listener, config).await;
                    Ok(())
                })
                .await
            }
            What::Control { listen, name, state, origin, other, new, memory_mb } => {
                if !is_name(&name) {
                    return Err(format!(
                        "name: letters, digits, dots, dashes expected, not {name:?}"
                    ));
                }
                let others: BTreeMap<_, _> =
                    other.into_iter().filter(|(n, _)| *n != name).collect();
                let config = control::Config {
                    name,
                    state,
                    origins: origin,
                    others,
                    new,
                    most_hosts: (memory_mb << 20) / control::HOST_BYTES,
                    seed: seed(),
                };
                let listener = bind(listen).await?;
                until_told(control::run(listener, config)).await
            }
            What::Host(arguments) => until_told(run_host(arguments)).await,
        }
    })
}

async fn run_host(arguments: HostArguments) -> Result<(), String> {
    let HostArguments { name, zone, service, control, place } = arguments;
    if let Some(wrong) = service.iter().chain([&name, &zone]).find(|n| !is_name(n)) {
        return Err(format!("letters, digits, dots, dashes expected, not {wrong:?}"));
    }
    let interest = Interest { services: service.into_iter().collect(), zone: zone.clone() };
    let config = host::Config { name, interest, machines: control, seed: seed() };
    match place {
        PlaceArguments::Alone { base, config: file, program } => {
            host::run(config, place::Alone { base, config: file, program }).await;
        }
        PlaceArguments::Fleet { state, settings } => {
            let settings = settings.into_iter().collect();
            host::run(config, place::Fleet { state, settings, zone }).await;
        }
    }
    Ok(())
}

async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(at).await.map_err(|e| format!("listen: {at}: {e}"))?;
    let at = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!(address = %at, "listening");
    // For whoever has started it with port 0.
    let _ = writeln!(std::io::stdout(), "{at}");
    Ok(listener)
}

/// What is drawn differs from process to process.
fn seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

async fn until_told(work: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    tokio::select! {
        done = work => done,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
