//! Environment variables that set keys of the configuration file.

use std::env::VarError;

use super::error::ConfigError;
use super::file::ConfigFile;

/// The variable with the path of the configuration file.
const PATH: &str = "LB_CONFIG";
const NAME: &str = "LB_NAME";
const LISTEN: &str = "LB_LISTEN";
const DISCOVERY: &str = "LB_DISCOVERY";
const ADMIN: &str = "LB_ADMIN_ADDR";
const ROUND_INTERVAL_MS: &str = "LB_TIER_TURN_MS";

/// Values of the environment variables; `None` if a variable is not set.
#[derive(Debug, Default)]
pub struct Environment {
    /// `LB_NAME`.
    pub name: Option<String>,
    /// `LB_LISTEN`.
    pub listen: Option<String>,
    /// `LB_DISCOVERY`.
    pub discovery: Option<String>,
    /// `LB_ADMIN_ADDR`.
    pub admin: Option<String>,
    /// `LB_TIER_TURN_MS`.
    pub round_interval_ms: Option<String>,
}

/// Reads a variable. An empty one counts as not set.
fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match std::env::var(name) {
        Ok(value) if !value.is_empty() => Ok(Some(value)),
        Ok(_) | Err(VarError::NotPresent) => Ok(None),
        Err(source) => Err(ConfigError::Variable { name, source }),
    }
}

/// The path of the configuration file.
///
/// # Errors
///
/// When `LB_CONFIG` is not set, or cannot be read.
pub fn config_path() -> Result<String, ConfigError> {
    variable(PATH)?.ok_or(ConfigError::NoPath)
}

impl Environment {
    /// Reads all variables.
    ///
    /// # Errors
    ///
    /// When a variable cannot be read.
    pub fn read() -> Result<Environment, ConfigError> {
        Ok(Environment {
            name: variable(NAME)?,
            listen: variable(LISTEN)?,
            discovery: variable(DISCOVERY)?,
            admin: variable(ADMIN)?,
            round_interval_ms: variable(ROUND_INTERVAL_MS)?,
        })
    }

    /// Reads the variables for keys that the file lacks. The variables were set when the process started, so a file
    /// that has been changed since takes precedence over them.
    pub fn read_missing(file: &ConfigFile) -> Environment {
        let read_unless = |is_in_file: bool, name: &'static str| match is_in_file {
            true => None,
            false => variable(name).ok().flatten(),
        };
        Environment {
            name: read_unless(file.name.is_some(), NAME),
            listen: read_unless(file.listen.is_some(), LISTEN),
            discovery: read_unless(file.discovery.is_some(), DISCOVERY),
            admin: read_unless(file.admin_addr.is_some(), ADMIN),
            round_interval_ms: read_unless(file.tier.is_some(), ROUND_INTERVAL_MS),
        }
    }

    /// The sidecar's name.
    ///
    /// # Errors
    ///
    /// When neither the file nor the variable has a value, or their values differ.
    pub fn resolve_name(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        resolve_required("name", in_file, NAME, self.name.take())
    }

    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// When neither the file nor the variable has a value, or their values differ.
    pub fn resolve_listen(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        resolve_required("listen", in_file, LISTEN, self.listen.take())
    }

    /// The address of discovery.
    ///
    /// # Errors
    ///
    /// When neither the file nor the variable has a value, or their values differ.
    pub fn resolve_discovery(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        resolve_required("discovery", in_file, DISCOVERY, self.discovery.take())
    }

    /// The address of the admin listener, if there is one.
    ///
    /// # Errors
    ///
    /// When the values of the file and of the variable differ.
    pub fn resolve_admin(
        &mut self,
        in_file: Option<String>,
    ) -> Result<Option<String>, ConfigError> {
        resolve("admin_addr", in_file, ADMIN, self.admin.take())
    }

    /// The interval between gossip rounds in milliseconds, if this sidecar takes part.
    ///
    /// # Errors
    ///
    /// When the values of the file and of the variable differ.
    pub fn resolve_round_interval(
        &mut self,
        in_file: Option<String>,
    ) -> Result<Option<String>, ConfigError> {
        resolve("tier.turn_ms", in_file, ROUND_INTERVAL_MS, self.round_interval_ms.take())
    }
}

fn resolve_required(
    key: &'static str,
    in_file: Option<String>,
    variable: &'static str,
    in_variable: Option<String>,
) -> Result<String, ConfigError> {
    resolve(key, in_file, variable, in_variable)?.ok_or(ConfigError::Missing { key, variable })
}

/// Returns the value of a key that is set in the file, in a variable or, with the same value, in both.
fn resolve(
    key: &'static str,
    in_file: Option<String>,
    variable: &'static str,
    in_variable: Option<String>,
) -> Result<Option<String>, ConfigError> {
    match (in_file, in_variable) {
        (Some(in_file), Some(in_variable)) if in_file != in_variable => {
            Err(ConfigError::Contradiction { key, in_file, variable, in_variable })
        }
        (in_file, in_variable) => Ok(in_file.or(in_variable)),
    }
}
