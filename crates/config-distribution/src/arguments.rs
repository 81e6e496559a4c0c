//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use clap::{Args, Parser, Subcommand};
use config_distribution::net::NamedAddress;
use config_distribution::net::target::ServiceSettings;
use logging::Format;

/// Distributes configuration to all sidecars, and reports where it is applied.
///
/// Status 0: ended by SIGTERM. 2: it could not start, or its state cannot be stored.
#[derive(Parser)]
#[command(name = "lb-config", version)]
pub struct Arguments {
    /// The format of log lines: text or json. Also LB_LOG_FORMAT.
    #[arg(long, global = true)]
    pub log_format: Option<Format>,
    /// A level, or levels by module. Also LB_LOG.
    #[arg(long = "log", global = true, value_name = "FILTER")]
    pub log_filter: Option<String>,
    /// The role that the process has.
    #[command(subcommand)]
    pub role: Role,
}

/// The roles.
#[derive(Subcommand)]
pub enum Role {
    /// Order changes. Nothing is stored: control servers have all.
    Origin(OriginArguments),
    /// Store a replica, and serve hosts.
    Control(ControlArguments),
    /// Apply on this host what it subscribes to.
    Host(HostArguments),
}

/// The options of an origin.
#[derive(Args)]
pub struct OriginArguments {
    /// The address for control servers and operators. Port 0: the system's choice, printed on standard output.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Its number, from 0 to 255; no other origin has it.
    #[arg(long)]
    pub number: u8,
    /// A control server; once for each.
    #[arg(long, required = true, value_name = "NAME=ADDRESS")]
    pub member: Vec<NamedAddress>,
}

/// The options of a control server.
#[derive(Args)]
pub struct ControlArguments {
    /// The address for hosts, origins and the other control servers.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Its name among the members.
    #[arg(long)]
    pub name: String,
    /// The directory of its state.
    #[arg(long)]
    pub state: PathBuf,
    /// An origin; once for each, whichever leads.
    #[arg(long, required = true)]
    pub origin: Vec<SocketAddr>,
    /// Another control server; once for each.
    #[arg(long, value_name = "NAME=ADDRESS")]
    pub other: Vec<NamedAddress>,
    /// It starts for the first time: there is no state that it could have lost. Without, a control server that has no
    /// state asks the others for it.
    #[arg(long)]
    pub new: bool,
    /// Memory for hosts, in megabytes: some twenty hosts to each.
    #[arg(long, default_value_t = 128)]
    pub memory_mb: usize,
}

/// The options of a host.
#[derive(Args)]
pub struct HostArguments {
    /// The host's name; no other host has it.
    #[arg(long)]
    pub name: String,
    /// Its zone.
    #[arg(long)]
    pub zone: String,
    /// A service that its sidecars call; once for each.
    #[arg(long, required = true)]
    pub service: Vec<String>,
    /// A control server that it may watch; once for each.
    #[arg(long, required = true, value_name = "NAME=ADDRESS")]
    pub control: Vec<NamedAddress>,
    /// What configuration is applied to.
    #[command(subcommand)]
    pub target: TargetArguments,
}

/// What configuration is applied to.
#[derive(Subcommand)]
pub enum TargetArguments {
    /// A standalone sidecar: its file is replaced, and it gets SIGHUP.
    #[command(name = "alone")]
    Standalone {
        /// The host's own part of the configuration.
        #[arg(long)]
        base: PathBuf,
        /// The file that the sidecar's LB_CONFIG names.
        #[arg(long)]
        config: PathBuf,
        /// The sidecar's program, which checks every configuration first.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// A fleet's daemon: its settings files are replaced, and it reloads.
    Fleet {
        /// The directory of the daemon's state.
        #[arg(long)]
        state: PathBuf,
        /// A service's own settings, and the file that fleet.toml names; once for each service.
        #[arg(long, required = true, value_name = "SERVICE=BASE:FILE")]
        settings: Vec<SettingsArgument>,
    },
}

/// The settings files of a service.
#[derive(Clone, Debug)]
pub struct SettingsArgument {
    /// The service.
    pub service: String,
    /// Its files.
    pub settings: ServiceSettings,
}

/// A text that names no settings files.
#[derive(Clone, Debug, thiserror::Error)]
#[error("SERVICE=BASE:FILE expected, not {text:?}")]
pub struct InvalidSettings {
    /// The text.
    text: String,
}

impl FromStr for SettingsArgument {
    type Err = InvalidSettings;

    fn from_str(text: &str) -> Result<SettingsArgument, InvalidSettings> {
        let parts = text.split_once('=').and_then(|(service, files)| {
            let (base, file) = files.split_once(':')?;
            Some((service, base, file))
        });
        let Some((service, base, file)) = parts else {
            return Err(InvalidSettings { text: text.to_owned() });
        };
        let settings = ServiceSettings { base: base.into(), file: file.into() };
        Ok(SettingsArgument { service: service.to_owned(), settings })
    }
}
