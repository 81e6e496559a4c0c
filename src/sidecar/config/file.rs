//! The form of the configuration file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::endpoints::EndpointList;
use super::error::ConfigError;

/// The least number of descriptors: beside those for the program itself, there are some for clients and servers.
const MIN_SOCKETS: usize = 64;
/// The least memory: the program itself takes some 6 MB, and what it takes for that many descriptors fits into the
/// rest.
const MIN_MEMORY_MB: usize = 16;
/// The largest limit of a body.
const MAX_BODY_LIMIT_MB: usize = 1 << 10;
/// The limit of a body unless it is set: clients have been seen to send 32 MB.
const DEFAULT_BODY_LIMIT_MB: usize = 33;
/// Keys that a reload applies, or that matter at the start alone.
const RELOADABLE_KEYS: [&str; 5] = ["discovery", "generation", "known", "limits", "seed"];
/// Keys of the settings that a reload applies.
const RELOADABLE_SETTINGS: [&str; 2] = ["limits", "tenants"];
/// Keys of a class that a reload applies.
const RELOADABLE_CLASS_KEYS: [&str; 4] = ["aim", "credit", "deadline", "lateWorth"];

/// The configuration as the file has it.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The number of this configuration, where whoever writes it counts them.
    #[serde(default)]
    pub generation: u64,
    /// The sidecar's name, unless `LB_NAME` has it.
    pub name: Option<String>,
    /// Where clients connect, unless `LB_LISTEN` has it.
    pub listen: Option<String>,
    /// Where discovery is, unless `LB_DISCOVERY` has it.
    pub discovery: Option<String>,
    /// Where operators connect, unless `LB_ADMIN_ADDR` has it.
    pub admin_addr: Option<String>,
    /// The seed of random numbers, in hexadecimal digits.
    pub seed: String,
    /// Resources that the process may use.
    pub limits: LimitsSection,
    /// Where datagrams of other sidecars arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The sidecars of the tier, by their numbers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches every sidecar of the tier.
    #[serde(rename = "peers_all")]
    pub peers_multicast: Option<SocketAddr>,
    /// Gossip with the other sidecars.
    pub tier: Option<TierSection>,
    /// The endpoint list as this sidecar last had it.
    #[serde(rename = "known")]
    pub cached_endpoints: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Value,
}

/// The section on gossip.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSection {
    /// The time between two rounds, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub round_interval_ms: u64,
}

/// The section on resources.
#[derive(Deserialize)]
pub struct LimitsSection {
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Descriptors that the process may use.
    pub sockets: usize,
    /// The longest body of a request or a response, in megabytes.
    #[serde(rename = "longest_body_mb", default = "default_body_limit_mb")]
    pub max_body_mb: usize,
}

fn default_body_limit_mb() -> usize {
    DEFAULT_BODY_LIMIT_MB
}

impl ConfigFile {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// When it is not JSON, or a key has the wrong type.
    pub fn parse(text: &[u8]) -> Result<ConfigFile, ConfigError> {
        Ok(serde_json::from_slice(text)?)
    }

    /// The seed of random numbers.
    ///
    /// # Errors
    ///
    /// When it is not hexadecimal.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|_| ConfigError::Seed { value: self.seed.clone() })
    }
}

impl LimitsSection {
    /// Checks that the limits are in range.
    ///
    /// # Errors
    ///
    /// The first limit that is not.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooSmall { key: "limits.sockets", min: MIN_SOCKETS });
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooSmall { key: "limits.memory_mb", min: MIN_MEMORY_MB });
        }
        if !(1..=MAX_BODY_LIMIT_MB).contains(&self.max_body_mb) {
            let (min, max) = (1, MAX_BODY_LIMIT_MB);
            return Err(ConfigError::OutOfRange { key: "limits.longest_body_mb", min, max });
        }
        Ok(())
    }
}

/// The part of a configuration that cannot change while a process runs.
///
/// # Errors
///
/// When the text is not JSON.
pub fn restart_only_part(text: &[u8]) -> Result<Value, ConfigError> {
    let mut all: Value = serde_json::from_slice(text)?;
    remove_keys(&mut all, &RELOADABLE_KEYS);
    let settings = &mut all["settings"];
    remove_keys(settings, &RELOADABLE_SETTINGS);
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        remove_keys(class, &RELOADABLE_CLASS_KEYS);
    }
    Ok(all)
}

fn remove_keys(object: &mut Value, keys: &[&str]) {
    if let Some(map) = object.as_object_mut() {
        map.retain(|key, _| !keys.contains(&key.as_str()));
    }
}
