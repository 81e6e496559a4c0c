//! How every program logs: lines on standard error, as text or as JSON, filtered by one setting.
//!
//! Values stand in fields of their own, not woven into the message, so that a machine can select by
//! them; `docs/operate/logs.md` lists their names.

use std::fmt;
use std::io;
use std::str::FromStr;

use tracing::Subscriber;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// The environment variable that holds the format, where the command line does not.
pub const FORMAT: &str = "LB_LOG_FORMAT";
/// The environment variable that holds the filter, where the command line does not.
pub const FILTER: &str = "LB_LOG";
/// The former name of [`FORMAT`]. It is still read, with one warning, and still passed on to child
/// processes, whose program may be of an earlier version.
pub const DEPRECATED_FORMAT: &str = "PLANKVALE_LOG_FORMAT";
/// The former name of [`FILTER`], handled as [`DEPRECATED_FORMAT`] is.
pub const DEPRECATED_FILTER: &str = "PLANKVALE_LOG";

/// What a line looks like.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For machines: an object a line.
    Json,
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
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("text or json expected, not {other:?}")),
        }
    }
}

/// How a program logs.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// What a line looks like.
    pub format: Format,
    /// A level (`info`), or levels by module (`warn,fleet=debug`); `info` where it is missing.
    pub filter: Option<String>,
    /// A value was taken from a variable of a deprecated name.
    pub deprecated: bool,
}

/// The value of an environment variable, if it is set and not empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Options {
    /// Those of the command line; where they are missing, those of the environment.
    ///
    /// # Errors
    ///
    /// The environment names a format that does not exist.
    pub fn or_env(format: Option<Format>, filter: Option<String>) -> Result<Options, String> {
        Options::from_sources(format, filter, variable)
    }

    /// As [`Options::or_env`], with `variable` in place of the environment.
    fn from_sources(
        format: Option<Format>,
        filter: Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Options, String> {
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
                Some((name, text)) => text.parse().map_err(|e| format!("{name}: {e}"))?,
                None => Format::default(),
            },
        };
        let filter = filter.or_else(|| named(FILTER, DEPRECATED_FILTER).map(|(_, filter)| filter));
        Ok(Options { format, filter, deprecated })
    }

    /// The environment that makes another program log in the same way.
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

    fn targets(&self) -> Result<Targets, String> {
        let Some(text) = &self.filter else {
            return Ok(Targets::new().with_default(LevelFilter::INFO));
        };
        // Danger: a level that is misspelt would be taken for the name of a module, and the program
        // fall silent. A word alone must be a level.
        for part in text.split(',') {
            let (module, level) = part.split_once('=').unwrap_or(("all", part));
            if module.trim().is_empty() || level.trim().parse::<LevelFilter>().is_err() {
                return Err(format!("log filter: LEVEL or MODULE=LEVEL expected, not {part:?}"));
            }
        }
        text.parse().map_err(|e| format!("log filter: {text:?}: {e}"))
    }

    fn layer<S, W>(&self, writer: W) -> Result<Box<dyn Layer<S> + Send + Sync>, String>
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

    /// Logs like this from now on.
    ///
    /// # Errors
    ///
    /// When the filter cannot be understood, or the program logs already.
    pub fn start(&self) -> Result<(), String> {
        let layer = self.layer(io::stderr)?;
        tracing_subscriber::registry().with(layer).try_init().map_err(|e| e.to_string())?;
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
