//! Tests of formats, filters and the sources of options.

use std::sync::{Arc, Mutex};

use super::*;

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl io::Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn logged(format: Format, filter: Option<&str>) -> String {
    let options = Options { format, filter: filter.map(str::to_owned), deprecated: false };
    let captured = Captured::default();
    let writer = captured.clone();
    let layer = options.layer(move || writer.clone()).expect("a valid filter");
    tracing::subscriber::with_default(tracing_subscriber::registry().with(layer), || {
        tracing::info!(instance = "a-1", generation = 3, "ready");
        tracing::debug!("detail");
    });
    let bytes = captured.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("text")
}

#[test]
fn fields_are_separate_from_the_message_in_both_formats() {
    let text = logged(Format::Text, None);
    assert!(text.contains("ready instance=\"a-1\" generation=3"), "{text}");
    let json = logged(Format::Json, None);
    let line: serde_json::Value = serde_json::from_str(&json).expect("one object a line");
    assert_eq!((&line["message"], &line["level"]), (&"ready".into(), &"INFO".into()));
    assert_eq!((&line["instance"], &line["generation"]), (&"a-1".into(), &3.into()));
}

#[test]
fn filter_selects_by_level_and_module() {
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
fn child_environment_carries_format_and_filter_under_both_names() {
    let options =
        Options { format: Format::Json, filter: Some("warn".to_owned()), ..Options::default() };
    let environment = options.environment();
    let expected = [
        (FORMAT, "json"),
        (DEPRECATED_FORMAT, "json"),
        (FILTER, "warn"),
        (DEPRECATED_FILTER, "warn"),
    ];
    assert_eq!(environment, expected.map(|(name, value)| (name, value.to_owned())));
    assert!("xml".parse::<Format>().is_err());
}

#[test]
fn deprecated_variables_are_read_if_the_current_ones_are_missing() {
    let old = |name: &str| match name {
        DEPRECATED_FORMAT => Some("json".to_owned()),
        DEPRECATED_FILTER => Some("warn".to_owned()),
        _ => None,
    };
    let options = Options::from_sources(None, None, old).expect("valid values");
    assert_eq!((options.format, options.filter.as_deref()), (Format::Json, Some("warn")));
    assert!(options.deprecated);
    let both = |name: &str| match name {
        FORMAT => Some("text".to_owned()),
        FILTER => Some("debug".to_owned()),
        other => old(other),
    };
    let options = Options::from_sources(None, None, both).expect("valid values");
    assert_eq!((options.format, options.filter.as_deref()), (Format::Text, Some("debug")));
    assert!(!options.deprecated);
    let bad = |name: &str| (name == DEPRECATED_FORMAT).then(|| "xml".to_owned());
    let error = Options::from_sources(None, None, bad).expect_err("an unknown format").to_string();
    assert_eq!(error, "PLANKVALE_LOG_FORMAT: must be text or json, not \"xml\"");
}
