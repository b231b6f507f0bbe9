//! Tests of the log lines that `jujube explain` collects for a request.

use std::path::PathBuf;

use insta::assert_snapshot;

fn log_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/gateway.log")
}

#[test]
fn explain_shows_related_lines_of_a_failed_request() {
    let report = jujube::explain("2135", &[log_file()]).expect("a readable file");
    assert_snapshot!(report.to_string());
}

#[test]
fn explain_reports_a_request_without_log_lines() {
    let report = jujube::explain("none", &[log_file()]).expect("a readable file");
    assert_snapshot!(report.to_string());
}

#[test]
fn explain_names_an_unreadable_file() {
    let error = jujube::explain("2135", &["no/such.log".into()]).expect_err("no such file");
    assert!(error.to_string().contains("no/such.log"), "{error}");
}
