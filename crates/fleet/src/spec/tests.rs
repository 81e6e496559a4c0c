//! Tests of reading and validating `fleet.toml`.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::validation::validate;
use super::{InvalidSpec, Spec};

const VALID: &str = r#"
program = "/bin/sh"

[rolling]
share = 0.2

[[instances]]
name = "club"
count = 3
listen = ["127.0.0.1:4000-4001", "127.0.0.2:4000"]
discovery = "127.0.0.1:8500"
zone = "b"
first = 5
limits = { memory_mb = 32, sockets = 128 }

[instances.settings]
zones = ["a", "b"]
classes = [{ name = "x", deadline = 2_000_000 }]
"#;

fn parse(text: &str) -> Result<Spec, InvalidSpec> {
    validate(text, Path::new("/"))
}

#[test]
fn valid_file_yields_one_configuration_per_instance() {
    let spec = parse(VALID).expect("valid");
    let slots: Vec<_> = spec.slots(&BTreeMap::new()).into_iter().collect();
    assert_eq!(slots, ["club-0", "club-1", "club-2"]);
    let at = spec.listen("club-2").expect("an address");
    assert_eq!(at.to_string(), "127.0.0.2:4000");
    let config = spec.configuration("club-2", 9, at, 0xab).expect("its template is there");
    assert_eq!(config["settings"]["me"], 7);
    assert_eq!(config["settings"]["zone"], 1);
    assert_eq!(config["settings"]["instances"], 8);
    assert_eq!((&config["generation"], &config["limits"]["sockets"]), (&json!(9), &json!(128)));
    assert_eq!(config["seed"], "00000000000000ab");
    assert_eq!(spec.policy().drain_timeout, Duration::from_millis(3500));
    assert!(!spec.has_slot("club-3") && !spec.has_slot("other-0") && !spec.has_slot("club"));
    let fewer = BTreeMap::from([("club".to_owned(), 1)]);
    assert_eq!(spec.slots(&fewer).len(), 1);
    let again: Spec =
        serde_json::from_str(&serde_json::to_string(&spec).expect("JSON")).expect("the same");
    assert_eq!(again, spec);
}

#[test]
fn errors_name_line_and_key() {
    for (from, to, expected) in [
        ("share = 0.2", "share = 2.0", "line 5: rollout.share"),
        ("share = 0.2", "shore = 0.2", "line 5: unknown field `shore`"),
        ("count = 3", "count = 4", "line 9: count"),
        ("count = 3", "count = \"3\"", "line 9: invalid type"),
        ("4000-4001", "4001-4000", "line 10: listen"),
        ("127.0.0.2:4000", "127.0.0.1:4001", "line 10: listen: 127.0.0.1:4001"),
        ("zone = \"b\"", "zone = \"c\"", "line 12: zone"),
        ("name = \"club\"", "name = \"a/b\"", "line 8: name"),
        ("\"/bin/sh\"", "\"/bin/none\"", "line 2: program"),
        ("[instances.settings]", "settings = \"none.json\"\n[rest]", "line 16: unknown field"),
    ] {
        assert!(VALID.contains(from));
        let message = parse(&VALID.replace(from, to)).expect_err(to).to_string();
        assert!(message.contains(expected) || message.starts_with("line "), "{message}");
        assert!(message.contains(expected.split(": ").last().expect("text")), "{to}: {message}");
    }
    let twice = format!("{VALID}\n{}", VALID.split_once("[[").map_or("", |p| p.1));
    assert!(parse(&twice.replace("\n[instances]]", "\n[[instances]]")).is_err());
}
