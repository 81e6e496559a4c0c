//! The configuration of a sidecar: the file named by `LB_CONFIG`, and the other `LB_` variables. All of it is validated
//! here. An error names the key.

mod endpoints;
mod environment;
mod error;
mod file;
mod names;

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use gossip::TenantQuotas;
use serde_json::Value;

pub use self::endpoints::{BorrowedText, Endpoint, EndpointList};
pub use self::error::ConfigError;
pub use self::names::{ProtocolNames, RequestClass};

use self::environment::{Environment, config_path};
use self::file::{ConfigFile, restart_only_part};
use super::resource_limits::{self, ResourceLimits};
use crate::settings::Settings;

/// Allowed intervals between gossip rounds, in milliseconds.
const ROUND_INTERVALS_MS: RangeInclusive<u64> = 10..=60_000;
/// Shift that converts the megabytes of the limits to bytes.
const MEGABYTE_SHIFT: u32 = 20;

/// A validated configuration.
pub struct Config {
    /// The generation of this configuration; 0 if the file does not set it.
    pub generation: u64,
    /// This sidecar's name.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the admin listener; `None` if there is none.
    pub admin: Option<SocketAddr>,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// Maximum number of descriptors of the process.
    pub max_sockets: usize,
    /// Maximum body size of a request or a response, in bytes.
    pub max_body_bytes: usize,
    /// The address that receives datagrams of other sidecars; `None` if they are not received.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the sidecars of the tier, by sidecar number.
    pub peers: Vec<SocketAddr>,
    /// The address through which a datagram reaches every sidecar of the tier; `None` if there is none.
    pub peers_multicast: Option<SocketAddr>,
    /// The time between two gossip rounds; `None` if this sidecar does not take part in gossip.
    pub gossip_round_interval: Option<Duration>,
    /// The endpoint list that this sidecar had last; `None` if it had none.
    pub cached_endpoints: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names used in protocols for the numbers that the balancer uses.
    pub names: Rc<ProtocolNames>,
    /// The part that only a restart can change: everything except the keys that a reload applies, and the seed and
    /// the cached endpoints, which are used only at startup.
    pub restart_only: Value,
}

impl Config {
    /// The limits of memory and descriptors.
    pub fn resource_limits(&self) -> ResourceLimits {
        ResourceLimits { memory: self.memory_bytes, sockets: self.max_sockets }
    }

    /// Reads the file named by `LB_CONFIG` and the other variables.
    ///
    /// # Errors
    ///
    /// When the configuration is invalid or cannot be read.
    pub fn from_env() -> Result<Config, ConfigError> {
        let text = read_file(&config_path()?).map_err(in_variable)?;
        let environment = Environment::read()?;
        Config::build(&text, environment).map_err(in_variable)
    }

    /// Reads the file named by `LB_CONFIG` again for a reload. It is validated as at startup, except that the file
    /// takes precedence over variables with other values, because these were set when the process started.
    ///
    /// # Errors
    ///
    /// When the configuration is invalid or cannot be read.
    pub fn reread() -> Result<Config, ConfigError> {
        let reread = |path: &str| {
            let text = read_file(path)?;
            let environment = Environment::read_missing(&ConfigFile::parse(&text)?);
            Config::build(&text, environment)
        };
        reread(&config_path()?).map_err(in_variable)
    }

    /// Parses a configuration from the text of a file, ignoring the variables.
    ///
    /// # Errors
    ///
    /// When the configuration is invalid.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        Config::build(text, Environment::default())
    }

    /// Validates a configuration file, ignoring the variables.
    ///
    /// # Errors
    ///
    /// When the configuration is invalid or cannot be read.
    pub fn check_file(path: &str) -> Result<Config, ConfigError> {
        let text = read_file(path)?;
        Config::parse(&text)
            .map_err(|error| ConfigError::InFile { path: path.to_owned(), source: Box::new(error) })
    }

    fn build(text: &[u8], mut environment: Environment) -> Result<Config, ConfigError> {
        let mut file = ConfigFile::parse(text)?;
        let name = environment.resolve_name(file.name.take())?;
        let listen = environment.resolve_listen(file.listen.take())?;
        let discovery = environment.resolve_discovery(file.discovery.take())?;
        let admin = environment.resolve_admin(file.admin_addr.take())?;
        let seed = file.seed()?;
        file.limits.check()?;
        let settings = Settings::from_json(file.settings.to_string().as_bytes())?;
        if !file.peers.is_empty() && file.peers.len() != settings.instances as usize {
            return Err(ConfigError::PeerCount);
        }
        let names = ProtocolNames::new(&settings, &file.settings)?;
        let gossip_round_interval = round_interval(&file, &mut environment)?;
        check_memory(&file, &settings, gossip_round_interval.is_some())?;
        Ok(Config {
            name,
            listen: address("listen", listen)?,
            discovery: address("discovery", discovery)?,
            admin: admin.map(|text| address("admin_addr", text)).transpose()?,
            generation: file.generation,
            seed,
            memory_bytes: file.limits.memory_mb << MEGABYTE_SHIFT,
            max_sockets: file.limits.sockets,
            max_body_bytes: file.limits.max_body_mb << MEGABYTE_SHIFT,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_multicast: file.peers_multicast,
            gossip_round_interval,
            cached_endpoints: file.cached_endpoints,
            settings,
            names: Rc::new(names),
            restart_only: restart_only_part(text)?,
        })
    }

    /// The tenant quotas for gossip. Their schema is a hash of the names of tenants and classes, in the order of the
    /// settings.
    pub fn tenant_quotas(&self) -> TenantQuotas {
        let tenants = self.names.tenant_names();
        let classes = self.settings.classes.iter().map(|class| class.name.as_str());
        let names = tenants.iter().map(String::as_str).chain(classes);
        let names: Vec<u8> = names.flat_map(|name| name.bytes().chain([0])).collect();
        TenantQuotas {
            schema: stable_hash(&names) as u16,
            per_second: self.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
        }
    }
}

/// FNV-1a hash, which is the same in every build and at every sidecar.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

fn read_file(path: &str) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::Read { path: path.to_owned(), source })
}

fn in_variable(error: ConfigError) -> ConfigError {
    ConfigError::InVariable(Box::new(error))
}

fn address(key: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Address { key, value })
}

/// The time between two gossip rounds; `None` if this sidecar does not take part in gossip.
fn round_interval(
    file: &ConfigFile,
    environment: &mut Environment,
) -> Result<Option<Duration>, ConfigError> {
    let in_file = file.tier.as_ref().map(|tier| tier.round_interval_ms.to_string());
    let Some(value) = environment.resolve_round_interval(in_file)? else { return Ok(None) };
    let ms = value.parse().ok().filter(|ms| ROUND_INTERVALS_MS.contains(ms));
    let ms = ms.ok_or(ConfigError::RoundInterval { value })?;
    Ok(Some(Duration::from_millis(ms)))
}

/// Checks that the membership table and the cached endpoint list fit into the memory limit.
fn check_memory(
    file: &ConfigFile,
    settings: &Settings,
    has_gossip: bool,
) -> Result<(), ConfigError> {
    let memory_mb = file.limits.memory_mb;
    let max = resource_limits::max_members(memory_mb << MEGABYTE_SHIFT);
    if has_gossip && settings.instances as usize > max {
        return Err(ConfigError::TooManyMembers { max, memory_mb });
    }
    let max = resource_limits::max_servers(memory_mb << MEGABYTE_SHIFT);
    let cached = file.cached_endpoints.as_ref().map_or(0, |list| list.endpoints.len());
    if cached > max {
        return Err(ConfigError::TooManyEndpoints { max, memory_mb });
    }
    Ok(())
}
