//! The story of a request from log lines.

use std::path::PathBuf;

use insta::assert_snapshot;

fn log_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/gateway.log")
}

#[test]
fn a_broken_request_is_explained_by_what_happened_around_it() {
    let report = jujube::explain("2135", &[log_file()]).expect("a readable file");
    assert_snapshot!(report.to_string());
}

#[test]
fn a_request_that_no_line_names_is_said_to_be_missing() {
    let report = jujube::explain("none", &[log_file()]).expect("a readable file");
    assert_snapshot!(report.to_string());
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = jujube::explain("2135", &["no/such.log".into()]).expect_err("no such file");
    assert!(error.to_string().contains("no/such.log"), "{error}");
}
