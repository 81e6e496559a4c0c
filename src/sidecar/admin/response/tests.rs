//! Tests of the text format of responses.

use std::io;

use instance_status::RequestCounts;

use super::*;
use crate::sidecar::admin::statistics::ClassCounts;

#[test]
fn response_has_a_line_for_each_figure_and_an_end() {
    let counts = RequestCounts { served: 812, rejected: 3, failed: 1 };
    let statistics = Statistics {
        classes: vec![ClassCounts { name: "look".into(), counts }],
        active_requests: 14,
        ..Statistics::default()
    };
    let text = Response::Statistics(statistics.into()).to_string();
    assert!(text.starts_with("sidecar.ok.look=812\nsidecar.shed.look=3\nsidecar.errors.look=1"));
    assert!(text.contains("\nsidecar.active=14\n") && text.ends_with("=0\nend\n"), "{text}");
    let source = io::Error::other("no\rdisk");
    let error = StateFileError::Io { path: "two\nlines".into(), source };
    let response = Response::Error(error.into());
    assert_eq!(response.to_string(), "error: two lines: no disk\n");
}
