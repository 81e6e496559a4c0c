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
/// Exit status 0: stopped by SIGTERM or SIGINT. 2: the process could not start, or its state cannot be stored.
#[derive(Parser)]
#[command(name = "lb-config", version)]
pub struct Arguments {
    /// Format of log lines: text or json. Also set by LB_LOG_FORMAT.
    #[arg(long, global = true)]
    pub log_format: Option<Format>,
    /// Log level, or levels by module. Also set by LB_LOG.
    #[arg(long = "log", global = true, value_name = "FILTER")]
    pub log_filter: Option<String>,
    /// The role of the process.
    #[command(subcommand)]
    pub role: Role,
}

/// The roles of a process.
#[derive(Subcommand)]
pub enum Role {
    /// Orders changes. It stores nothing itself: the control servers hold all documents.
    Origin(OriginArguments),
    /// Stores a replica of all documents, and serves hosts.
    Control(ControlArguments),
    /// Applies the documents that this host subscribes to.
    Host(HostArguments),
}

/// The options of an origin.
#[derive(Args)]
pub struct OriginArguments {
    /// Listen address for control servers and operators. With port 0 the system chooses a port. The address is printed
    /// on standard output.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The origin's number, from 0 to 255. It has to be unique among the origins.
    #[arg(long)]
    pub number: u8,
    /// Name and address of a control server. Repeat it for each control server.
    #[arg(long, required = true, value_name = "NAME=ADDRESS")]
    pub member: Vec<NamedAddress>,
}

/// The options of a control server.
#[derive(Args)]
pub struct ControlArguments {
    /// Listen address for hosts, origins and the other control servers.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The server's name among the control servers.
    #[arg(long)]
    pub name: String,
    /// Directory of the server's state.
    #[arg(long)]
    pub state: PathBuf,
    /// Address of an origin. Repeat it for each origin, whether it leads or not.
    #[arg(long, required = true)]
    pub origin: Vec<SocketAddr>,
    /// Name and address of another control server. Repeat it for each one.
    #[arg(long, value_name = "NAME=ADDRESS")]
    pub other: Vec<NamedAddress>,
    /// The control server starts for the first time, so that missing state does not count as lost. Without this option,
    /// a control server that finds no state recovers it from the others.
    #[arg(long)]
    pub new: bool,
    /// Memory for hosts, in megabytes. One megabyte is enough for about twenty hosts.
    #[arg(long, default_value_t = 128)]
    pub memory_mb: usize,
}

/// The options of a host.
#[derive(Args)]
pub struct HostArguments {
    /// The host's name. It has to be unique among the hosts.
    #[arg(long)]
    pub name: String,
    /// The host's zone.
    #[arg(long)]
    pub zone: String,
    /// A service that the host's sidecars call. Repeat it for each service.
    #[arg(long, required = true)]
    pub service: Vec<String>,
    /// Name and address of a control server that the host may watch. Repeat it for each one.
    #[arg(long, required = true, value_name = "NAME=ADDRESS")]
    pub control: Vec<NamedAddress>,
    /// The target that configuration is applied to.
    #[command(subcommand)]
    pub target: TargetArguments,
}

/// The target that configuration is applied to.
#[derive(Subcommand)]
pub enum TargetArguments {
    /// A standalone sidecar. Its configuration file is replaced, and it is sent SIGHUP.
    #[command(name = "alone")]
    Standalone {
        /// File with the host's own part of the configuration.
        #[arg(long)]
        base: PathBuf,
        /// Configuration file that the sidecar's LB_CONFIG names.
        #[arg(long)]
        config: PathBuf,
        /// Program of the sidecar, which checks each configuration before it is applied.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// The daemon of a fleet. Its settings files are replaced, and it is told to reload.
    Fleet {
        /// Directory of the daemon's state.
        #[arg(long)]
        state: PathBuf,
        /// A service's base settings file, and its settings file that fleet.toml names. Repeat it for each service.
        #[arg(long, required = true, value_name = "SERVICE=BASE:FILE")]
        settings: Vec<SettingsArgument>,
    },
}

/// The settings files of a service.
#[derive(Clone, Debug)]
pub struct SettingsArgument {
    /// The service's name.
    pub service: String,
    /// The service's settings files.
    pub settings: ServiceSettings,
}

/// The error for a text that does not name a service and its settings files.
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
