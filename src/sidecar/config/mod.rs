//! The configuration that a sidecar is started with: the file that `LB_CONFIG` names, and the other `LB_` variables.
//! Everything is checked here; an error names the key.

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
pub use self::names::{ClassName, ProtocolNames};

use self::environment::{Environment, config_path};
use self::file::{ConfigFile, restart_only_part};
use super::budget;
use crate::settings::Settings;

/// Intervals between gossip rounds that can be set, in milliseconds.
const ROUND_INTERVALS_MS: RangeInclusive<u64> = 10..=60_000;
/// Bytes in the megabytes of the limits, as a power of two.
const MEGABYTE_SHIFT: u32 = 20;

/// The configuration, checked.
pub struct Config {
    /// The number of this configuration, where whoever writes it counts them; 0 otherwise.
    pub generation: u64,
    /// This sidecar's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators connect, if they may.
    pub admin: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may use.
    pub max_sockets: usize,
    /// The longest body of a request or a response, in bytes.
    pub max_body_bytes: usize,
    /// Where datagrams of other sidecars arrive, if they may.
    pub peer_listen: Option<SocketAddr>,
    /// The sidecars of the tier, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches every sidecar of the tier.
    pub peers_multicast: Option<SocketAddr>,
    /// The time between two gossip rounds, where the sidecar takes part.
    pub gossip_round_interval: Option<Duration>,
    /// The endpoint list as this sidecar last had it.
    pub cached_endpoints: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Settings,
    /// The names that are used on sockets for the balancer's numbers.
    pub names: Rc<ProtocolNames>,
    /// The part that cannot change while a process runs: all but what a reload applies. The seed is for one start,
    /// and the cached endpoints for its first moment.
    pub restart_only: Value,
}

impl Config {
    /// Reads the configuration that the variables name.
    ///
    /// # Errors
    ///
    /// Why it cannot be used.
    pub fn from_env() -> Result<Config, ConfigError> {
        let text = read_file(&config_path()?).map_err(in_variable)?;
        let environment = Environment::read()?;
        Config::build(&text, environment).map_err(in_variable)
    }

    /// Reads the file that `LB_CONFIG` names again, at a reload. It is checked as at the start; but the variables are
    /// as old as the process, so where they differ from the file, the file applies.
    ///
    /// # Errors
    ///
    /// Why it cannot be used.
    pub fn reread() -> Result<Config, ConfigError> {
        let reread = |path: &str| {
            let text = read_file(path)?;
            let environment = Environment::read_missing(&ConfigFile::parse(&text)?);
            Config::build(&text, environment)
        };
        reread(&config_path()?).map_err(in_variable)
    }

    /// A configuration from its text, without the variables.
    ///
    /// # Errors
    ///
    /// Why it cannot be used.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        Config::build(text, Environment::default())
    }

    /// Checks a file as a configuration, without the variables.
    ///
    /// # Errors
    ///
    /// Why it cannot be used.
    pub fn check_file(path: &str) -> Result<Config, ConfigError> {
        let text = read_file(path)?;
        Config::parse(&text)
            .map_err(|error| ConfigError::InFile { path: path.to_owned(), source: Box::new(error) })
    }

    fn build(text: &[u8], mut environment: Environment) -> Result<Config, ConfigError> {
        let mut file = ConfigFile::parse(text)?;
        let name = environment.agree_on_name(file.name.take())?;
        let listen = environment.agree_on_listen(file.listen.take())?;
        let discovery = environment.agree_on_discovery(file.discovery.take())?;
        let admin = environment.agree_on_admin(file.admin_addr.take())?;
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

    /// The tenants' quotas as gossip shares them. Their schema stands for the names of tenants and classes, in the
    /// order of the settings.
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

/// The same number for the same bytes in every build and at every sidecar (FNV-1a).
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

/// The time between two gossip rounds, if the sidecar takes part.
fn round_interval(
    file: &ConfigFile,
    environment: &mut Environment,
) -> Result<Option<Duration>, ConfigError> {
    let in_file = file.tier.as_ref().map(|tier| tier.round_interval_ms.to_string());
    let Some(value) = environment.agree_on_round_interval(in_file)? else { return Ok(None) };
    let ms = value.parse().ok().filter(|ms| ROUND_INTERVALS_MS.contains(ms));
    let ms = ms.ok_or(ConfigError::RoundInterval { value })?;
    Ok(Some(Duration::from_millis(ms)))
}

/// Checks that the membership table and the cached endpoint list fit into the memory.
fn check_memory(
    file: &ConfigFile,
    settings: &Settings,
    has_gossip: bool,
) -> Result<(), ConfigError> {
    let memory_mb = file.limits.memory_mb;
    let max = budget::max_members(memory_mb << MEGABYTE_SHIFT);
    if has_gossip && settings.instances as usize > max {
        return Err(ConfigError::TooManyMembers { max, memory_mb });
    }
    let max = budget::max_servers(memory_mb << MEGABYTE_SHIFT);
    let cached = file.cached_endpoints.as_ref().map_or(0, |list| list.endpoints.len());
    if cached > max {
        return Err(ConfigError::TooManyEndpoints { max, memory_mb });
    }
    Ok(())
}
