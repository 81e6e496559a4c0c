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

/// Names the format, where the command line does not.
pub const FORMAT: &str = "PLANKVALE_LOG_FORMAT";
/// Holds the filter, where the command line does not.
pub const FILTER: &str = "PLANKVALE_LOG";

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
}

impl Options {
    /// Those of the command line; where they are missing, those of the environment.
    ///
    /// # Errors
    ///
    /// The environment names a format that does not exist.
    pub fn or_env(format: Option<Format>, filter: Option<String>) -> Result<Options, String> {
        let named = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let format = match (format, named(FORMAT)) {
            (Some(format), _) => format,
            (None, Some(text)) => text.parse().map_err(|e| format!("{FORMAT}: {e}"))?,
            (None, None) => Format::default(),
        };
        Ok(Options { format, filter: filter.or_else(|| named(FILTER)) })
    }

    /// The environment that makes another program log in the same way.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let mut all = vec![(FORMAT, self.format.to_string())];
        all.extend(self.filter.clone().map(|filter| (FILTER, filter)));
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
        tracing_subscriber::registry().with(layer).try_init().map_err(|e| e.to_string())
    }
}

#[cfg(test)]
mod tests {
    use std::sync::{Arc, Mutex};

    use super::*;

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().expect("not poisoned").extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    fn logged(format: Format, filter: Option<&str>) -> String {
        let options = Options { format, filter: filter.map(str::to_owned) };
        let kept = Kept::default();
        let writer = kept.clone();
        let layer = options.layer(move || writer.clone()).expect("a sound filter");
        tracing::subscriber::with_default(tracing_subscriber::registry().with(layer), || {
            tracing::info!(instance = "a-1", generation = 3, "ready");
            tracing::debug!("detail");
        });
        let bytes = kept.0.lock().expect("not poisoned").clone();
        String::from_utf8(bytes).expect("text")
    }

    #[test]
    fn fields_stand_for_themselves_in_both_formats() {
        let text = logged(Format::Text, None);
        assert!(text.contains("ready instance=\"a-1\" generation=3"), "{text}");
        let json = logged(Format::Json, None);
        let line: serde_json::Value = serde_json::from_str(&json).expect("one object a line");
        assert_eq!((&line["message"], &line["level"]), (&"ready".into(), &"INFO".into()));
        assert_eq!((&line["instance"], &line["generation"]), (&"a-1".into(), &3.into()));
    }

    #[test]
    fn the_filter_selects_by_level_and_module() {
        assert!(!logged(Format::Text, None).contains("detail"));
        assert!(logged(Format::Text, Some("debug")).contains("detail"));
        assert_eq!(logged(Format::Text, Some("warn")), "");
        assert!(logged(Format::Text, Some("warn,logging=debug")).contains("detail"));
        for bad in ["loud", "info,=", "logging=loud"] {
            let options = Options { filter: Some(bad.to_owned()), ..Options::default() };
            assert!(options.targets().is_err(), "{bad}");
        }
    }

    #[test]
    fn another_program_is_told_by_its_environment() {
        let options = Options { format: Format::Json, filter: Some("warn".to_owned()) };
        let told = options.environment();
        assert_eq!(told, [(FORMAT, "json".to_owned()), (FILTER, "warn".to_owned())]);
        assert!("xml".parse::<Format>().is_err());
    }
}
