//! How every program logs: lines on standard error, as text or as JSON, filtered by one setting.
//!
//! Messages are fixed and values are fields, so that lines can be selected by both; `docs/operate/logs.md` lists the
//! names of the fields.

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

/// The environment variable that holds the format, where the command line does not.
pub const FORMAT: &str = "LB_LOG_FORMAT";
/// The environment variable that holds the filter, where the command line does not.
pub const FILTER: &str = "LB_LOG";
/// The former name of [`FORMAT`]. It is still read, with one warning, and still passed on to child
/// processes, whose program may be of an earlier version.
pub const DEPRECATED_FORMAT: &str = "PLANKVALE_LOG_FORMAT";
/// The former name of [`FILTER`], handled as [`DEPRECATED_FORMAT`] is.
pub const DEPRECATED_FILTER: &str = "PLANKVALE_LOG";

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// A JSON object for each line.
    Json,
}

/// A format that does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("text or json expected, not {0:?}")]
pub struct UnknownFormat(pub String);

/// Why the options of the log cannot be used.
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
    #[error("log filter: LEVEL or MODULE=LEVEL expected, not {0:?}")]
    FilterPart(String),
    /// The filter cannot be parsed.
    #[error("log filter: {filter:?}: {source}")]
    Filter {
        /// The filter.
        filter: String,
        /// The cause.
        source: ParseError,
    },
    /// The program logs already.
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

/// The options of a program's log.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The format of a line.
    pub format: Format,
    /// A level (`info`), or levels by module (`warn,fleet=debug`). None: `info`.
    pub filter: Option<String>,
    /// Whether a value was taken from a variable of a deprecated name.
    pub deprecated: bool,
}

/// The value of an environment variable, if it is set and not empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Options {
    /// The options of the command line, and those of the environment where they are missing.
    ///
    /// # Errors
    ///
    /// When the environment names an unknown format.
    pub fn or_env(format: Option<Format>, filter: Option<String>) -> Result<Options, LogError> {
        Options::from_sources(format, filter, variable)
    }

    /// As [`Options::or_env`], with `variable` in place of the environment.
    fn from_sources(
        format: Option<Format>,
        filter: Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Options, LogError> {
        let mut deprecated = false;
        let mut named = |name: &'static str, old: &'static str| {
            let current = variable(name).map(|value| (name, value));
            current.or_else(|| {
                let value = variable(old)?;
                deprecated = true;
                Some((old, value))
            })
        };
        let format = match format {
            Some(format) => format,
            None => match named(FORMAT, DEPRECATED_FORMAT) {
                Some((variable, text)) => {
                    text.parse().map_err(|source| LogError::Format { variable, source })?
                }
                None => Format::default(),
            },
        };
        let filter = filter.or_else(|| named(FILTER, DEPRECATED_FILTER).map(|(_, filter)| filter));
        Ok(Options { format, filter, deprecated })
    }

    /// The environment variables that make another program log in the same way.
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
        // A misspelt level would be taken for the name of a module, and nothing would be logged. So a word alone must be
        // a level.
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

    /// Starts the log of this program.
    ///
    /// # Errors
    ///
    /// When the filter is invalid, or the log was started before.
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
