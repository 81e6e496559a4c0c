//! Logging for all programs: lines on standard error, as text or JSON, with one filter setting.
//!
//! Messages are constant and values are fields, so that lines can be selected by either.
//! `docs/operate/logs.md` lists the names of the fields.

use std::fmt;
use std::io;
use std::str::FromStr;

use thiserror::Error;
use tracing::Subscriber;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::{LevelFilter, ParseError, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// The environment variable of the format, used if the command line has none.
pub const FORMAT: &str = "LB_LOG_FORMAT";
/// The environment variable of the filter, used if the command line has none.
pub const FILTER: &str = "LB_LOG";
/// The deprecated name of [`FORMAT`]. It is still read, with one warning, and is also set for child
/// processes, whose program may be of an earlier version.
pub const DEPRECATED_FORMAT: &str = "PLANKVALE_LOG_FORMAT";
/// The deprecated name of [`FILTER`], handled like [`DEPRECATED_FORMAT`].
pub const DEPRECATED_FILTER: &str = "PLANKVALE_LOG";

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The error of an unknown format name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("must be text or json, not {0:?}")]
pub struct UnknownFormat(pub String);

/// An error in the logging options, or at the start of logging.
#[derive(Debug, Error)]
pub enum LogError {
    /// An environment variable names an unknown format.
    #[error("{variable}: {source}")]
    Format {
        /// The name of the variable.
        variable: &'static str,
        /// The cause.
        source: UnknownFormat,
    },
    /// A part of the filter is neither a level nor a module with a level.
    #[error("log filter: must be LEVEL or MODULE=LEVEL, not {0:?}")]
    FilterPart(String),
    /// The filter cannot be parsed.
    #[error("log filter: {filter:?}: {source}")]
    Filter {
        /// The filter.
        filter: String,
        /// The cause.
        source: ParseError,
    },
    /// Logging was already started.
    #[error(transparent)]
    AlreadyStarted(#[from] TryInitError),
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Format::Text => "text",
            Format::Json => "json",
        })
    }
}

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Format, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

/// The logging options of a program.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The format of log lines.
    pub format: Format,
    /// A level (`info`), or levels by module (`warn,fleet=debug`). `None` means `info`.
    pub filter: Option<String>,
    /// Whether a value comes from a variable with a deprecated name.
    pub deprecated: bool,
}

/// Returns the value of an environment variable, if it is set and not empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Options {
    /// Takes the options from the command line, and from the environment if the command line does not set them.
    ///
    /// # Errors
    ///
    /// Fails if the environment names an unknown format.
    pub fn or_env(format: Option<Format>, filter: Option<String>) -> Result<Options, LogError> {
        Options::from_sources(format, filter, variable)
    }

    /// Like [`Options::or_env`], with `variable` instead of the environment.
    fn from_sources(
        format: Option<Format>,
        filter: Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Options, LogError> {
        let mut deprecated = false;
        let mut lookup = |name: &'static str, deprecated_name: &'static str| {
            let current = variable(name).map(|value| (name, value));
            current.or_else(|| {
                let value = variable(deprecated_name)?;
                deprecated = true;
                Some((deprecated_name, value))
            })
        };
        let format = match format {
            Some(format) => format,
            None => match lookup(FORMAT, DEPRECATED_FORMAT) {
                Some((variable, text)) => {
                    text.parse().map_err(|source| LogError::Format { variable, source })?
                }
                None => Format::default(),
            },
        };
        let filter = filter.or_else(|| lookup(FILTER, DEPRECATED_FILTER).map(|(_, filter)| filter));
        Ok(Options { format, filter, deprecated })
    }

    /// Returns the environment variables with which a child process logs with the same options.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let mut all = Vec::new();
        for name in [FORMAT, DEPRECATED_FORMAT] {
            all.push((name, self.format.to_string()));
        }
        if let Some(filter) = &self.filter {
            for name in [FILTER, DEPRECATED_FILTER] {
                all.push((name, filter.clone()));
            }
        }
        all
    }

    fn targets(&self) -> Result<Targets, LogError> {
        let Some(text) = &self.filter else {
            return Ok(Targets::new().with_default(LevelFilter::INFO));
        };
        // `Targets` would parse a misspelt level as the name of a module, and nothing would be logged. A word without
        // `=` must therefore be a level.
        for part in text.split(',') {
            let (module, level) = part.split_once('=').unwrap_or(("all", part));
            if module.trim().is_empty() || level.trim().parse::<LevelFilter>().is_err() {
                return Err(LogError::FilterPart(part.to_owned()));
            }
        }
        text.parse().map_err(|source| LogError::Filter { filter: text.clone(), source })
    }

    fn layer<S, W>(&self, writer: W) -> Result<Box<dyn Layer<S> + Send + Sync>, LogError>
    where
        S: Subscriber + for<'a> LookupSpan<'a>,
        W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    {
        let targets = self.targets()?;
        let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer);
        Ok(match self.format {
            Format::Text => lines.with_filter(targets).boxed(),
            Format::Json => lines.json().flatten_event(true).with_filter(targets).boxed(),
        })
    }

    /// Starts logging in this program.
    ///
    /// # Errors
    ///
    /// Fails if the filter is invalid or logging was already started.
    pub fn start(&self) -> Result<(), LogError> {
        let layer = self.layer(io::stderr)?;
        tracing_subscriber::registry().with(layer).try_init()?;
        if self.deprecated {
            tracing::warn!(
                deprecated = "PLANKVALE_LOG, PLANKVALE_LOG_FORMAT",
                replacement = "LB_LOG, LB_LOG_FORMAT",
                "deprecated environment variables are in use"
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
