//! The format of the configuration file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::endpoints::EndpointList;
use super::error::ConfigError;

/// Minimum number of descriptors: those of the program itself, and some for clients and servers.
const MIN_SOCKETS: usize = 64;
/// Minimum memory limit in megabytes: the program itself takes about 6 MB, and the rest suffices for [`MIN_SOCKETS`]
/// descriptors.
const MIN_MEMORY_MB: usize = 16;
/// Maximum of the body size limit, in megabytes.
const MAX_BODY_LIMIT_MB: usize = 1 << 10;
/// Default body size limit, in megabytes. Clients have sent bodies of 32 MB.
const DEFAULT_BODY_LIMIT_MB: usize = 33;
/// Keys that a reload applies, or that are used only at startup.
const RELOADABLE_KEYS: [&str; 5] = ["discovery", "generation", "known", "limits", "seed"];
/// Keys of the settings that a reload applies.
const RELOADABLE_SETTINGS: [&str; 2] = ["limits", "tenants"];
/// Keys of a class that a reload applies.
const RELOADABLE_CLASS_KEYS: [&str; 4] = ["aim", "credit", "deadline", "lateWorth"];

/// The contents of the configuration file.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// The generation of this configuration; 0 if the file does not set it.
    #[serde(default)]
    pub generation: u64,
    /// The sidecar's name; `None` if only `LB_NAME` sets it.
    pub name: Option<String>,
    /// The address at which clients connect; `None` if only `LB_LISTEN` sets it.
    pub listen: Option<String>,
    /// The address of discovery; `None` if only `LB_DISCOVERY` sets it.
    pub discovery: Option<String>,
    /// The address of the admin listener; `None` if only `LB_ADMIN_ADDR` sets it, or there is none.
    pub admin_addr: Option<String>,
    /// The seed of the random number generator, in hexadecimal digits.
    pub seed: String,
    /// Resource limits.
    pub limits: LimitsSection,
    /// The address that receives datagrams of other sidecars; `None` if they are not received.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the sidecars of the tier, by sidecar number.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The address through which a datagram reaches every sidecar of the tier; `None` if there is none.
    #[serde(rename = "peers_all")]
    pub peers_multicast: Option<SocketAddr>,
    /// Gossip with the other sidecars of the tier; `None` if this sidecar does not take part.
    pub tier: Option<TierSection>,
    /// The endpoint list that this sidecar had last; `None` if it had none.
    #[serde(rename = "known")]
    pub cached_endpoints: Option<EndpointList>,
    /// The balancer's settings.
    pub settings: Value,
}

/// The `tier` section, which configures gossip.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSection {
    /// The time between two gossip rounds, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub round_interval_ms: u64,
}

/// The `limits` section, which limits resources.
#[derive(Deserialize)]
pub struct LimitsSection {
    /// Memory limit of the process, in megabytes.
    pub memory_mb: usize,
    /// Maximum number of descriptors of the process.
    pub sockets: usize,
    /// Maximum body size of a request or a response, in megabytes.
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

    /// Parses the seed of the random number generator.
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
    /// When a limit is out of range; the error names the first one.
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

/// The part of a configuration that only a restart can change.
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
