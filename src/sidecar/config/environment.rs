//! The `LB_` variables that stand for keys of the file.

use std::env::VarError;

use super::error::ConfigError;
use super::file::ConfigFile;

/// The variable with the path of the file.
const PATH: &str = "LB_CONFIG";
const NAME: &str = "LB_NAME";
const LISTEN: &str = "LB_LISTEN";
const DISCOVERY: &str = "LB_DISCOVERY";
const ADMIN: &str = "LB_ADMIN_ADDR";
const ROUND_INTERVAL_MS: &str = "LB_TIER_TURN_MS";

/// Values that stand in variables.
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

/// A variable; an empty one counts as not set.
fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match std::env::var(name) {
        Ok(value) if !value.is_empty() => Ok(Some(value)),
        Ok(_) | Err(VarError::NotPresent) => Ok(None),
        Err(source) => Err(ConfigError::Variable { name, source }),
    }
}

/// The path of the configuration.
///
/// # Errors
///
/// When `LB_CONFIG` is not set, or cannot be read.
pub fn config_path() -> Result<String, ConfigError> {
    variable(PATH)?.ok_or(ConfigError::NoPath)
}

impl Environment {
    /// All variables.
    ///
    /// # Errors
    ///
    /// The variable that cannot be read.
    pub fn read() -> Result<Environment, ConfigError> {
        Ok(Environment {
            name: variable(NAME)?,
            listen: variable(LISTEN)?,
            discovery: variable(DISCOVERY)?,
            admin: variable(ADMIN)?,
            round_interval_ms: variable(ROUND_INTERVAL_MS)?,
        })
    }

    /// The variables for keys that the file lacks. The variables are as old as the process, so a file that was
    /// changed since overrides them.
    pub fn read_missing(file: &ConfigFile) -> Environment {
        let unless = |is_in_file: bool, name: &'static str| match is_in_file {
            true => None,
            false => variable(name).ok().flatten(),
        };
        Environment {
            name: unless(file.name.is_some(), NAME),
            listen: unless(file.listen.is_some(), LISTEN),
            discovery: unless(file.discovery.is_some(), DISCOVERY),
            admin: unless(file.admin_addr.is_some(), ADMIN),
            round_interval_ms: unless(file.tier.is_some(), ROUND_INTERVAL_MS),
        }
    }

    /// The sidecar's name.
    ///
    /// # Errors
    ///
    /// When it stands nowhere, or file and variable differ.
    pub fn agree_on_name(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        required("name", in_file, NAME, self.name.take())
    }

    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// When it stands nowhere, or file and variable differ.
    pub fn agree_on_listen(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        required("listen", in_file, LISTEN, self.listen.take())
    }

    /// The address of discovery.
    ///
    /// # Errors
    ///
    /// When it stands nowhere, or file and variable differ.
    pub fn agree_on_discovery(&mut self, in_file: Option<String>) -> Result<String, ConfigError> {
        required("discovery", in_file, DISCOVERY, self.discovery.take())
    }

    /// The address of the admin listener, if there is one.
    ///
    /// # Errors
    ///
    /// When file and variable differ.
    pub fn agree_on_admin(
        &mut self,
        in_file: Option<String>,
    ) -> Result<Option<String>, ConfigError> {
        agreed("admin_addr", in_file, ADMIN, self.admin.take())
    }

    /// The interval between gossip rounds in milliseconds, if this sidecar takes part.
    ///
    /// # Errors
    ///
    /// When file and variable differ.
    pub fn agree_on_round_interval(
        &mut self,
        in_file: Option<String>,
    ) -> Result<Option<String>, ConfigError> {
        agreed("tier.turn_ms", in_file, ROUND_INTERVAL_MS, self.round_interval_ms.take())
    }
}

fn required(
    key: &'static str,
    in_file: Option<String>,
    variable: &'static str,
    in_variable: Option<String>,
) -> Result<String, ConfigError> {
    agreed(key, in_file, variable, in_variable)?.ok_or(ConfigError::Missing { key, variable })
}

/// A value that may stand in the file, in a variable or, the same, in both.
fn agreed(
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
