//! Merging of documents, and rejection of invalid ones.

mod support;

use config_distribution::documents::{Document, DocumentBody, MAX_BODY_BYTES, merge_documents};
use serde_json::json;
use support::key;

#[test]
fn documents_merge_from_general_to_specific_and_oversized_body_is_rejected() {
    let document = |text: &str, value: serde_json::Value| Document {
        key: key(text),
        generation: 1,
        body: Some(value.to_string().parse().expect("valid")),
    };
    let documents = [
        document("a@z", json!({"x": 4})),
        document("*", json!({"x": 1, "y": {"p": 1, "q": 1}})),
        document("a", json!({"x": 3, "y": {"p": null}})),
        document("*@z", json!({"x": 2})),
    ];
    let base = json!({"name": "n", "y": {"r": 0}});
    let merged = merge_documents(&base, documents.iter());
    assert_eq!(merged, json!({"name": "n", "x": 4, "y": {"q": 1, "r": 0}}));
    let long = format!("{{\"x\":\"{}\"}}", "x".repeat(MAX_BODY_BYTES));
    let error = long.parse::<DocumentBody>().expect_err("too large").to_string();
    let expected = format!("{} bytes, {MAX_BODY_BYTES} at most", long.len());
    assert!(error.contains(&expected), "{error}");
    for invalid in ["", "{", "[]", "3", "{} {}"] {
        assert!(invalid.parse::<DocumentBody>().is_err(), "{invalid:?}");
    }
}
