//! Tests of comparing configurations.

use serde_json::json;

use super::*;

#[test]
fn first_different_key_is_named_with_its_path() {
    let old = json!({"a": {"b": 1, "c": [1, 2]}, "d": 4});
    assert_eq!(first_difference(&old, &old), None);
    let new = json!({"a": {"b": 1, "c": [1, 3]}, "d": 4});
    assert_eq!(first_difference(&old, &new).as_deref(), Some("a.c"));
    let new = json!({"a": {"b": 1, "c": [1, 2]}, "d": 4, "e": 5});
    assert_eq!(first_difference(&old, &new).as_deref(), Some("e"));
}
