//! Validation of configurations, and the error messages shown to operators.

mod testutils;

use std::collections::BTreeMap;

use jujuberoad::config::ConfigEdit;
use jujuberoad::config::ConfigRecord;
use jujuberoad::config::FleetConfig;
use smol_str::SmolStr;
use testutils::fleet_files::fleet_files;

fn problems(extra: &[(&str, &str)]) -> String {
    let mut files = fleet_files(1, 3, 2, 1);
    for (name, text) in extra {
        files.insert(SmolStr::from(*name), (*text).to_owned());
    }
    match FleetConfig::parse(&files) {
        Ok(_) => "accepted\n".to_owned(),
        Err(problems) => problems
            .iter()
            .map(|problem| format!("{problem}\n"))
            .collect(),
    }
}

#[test]
fn faults_name_file_line_key_and_what_is_expected() {
    let big = format!("; {}\n", "x".repeat(1_000_000));
    let cases = [
        ("an unknown key", "[zone a]\noutt = yes\n"),
        ("a wrong flag", "[zone a]\nout = maybe\n"),
        ("a span without unit", "[limits]\nqueue = 5\n"),
        ("a size without unit", "[limits]\nbody = 12\n"),
        ("an unknown section", "[zones a]\nregion = r\n"),
        ("a section without name", "[zone]\nregion = r\n"),
        (
            "a VM named twice",
            "[vm a0-00]\ndomain = b0\naddress = 10.0.0.9:1\n",
        ),
        (
            "a section twice in a file",
            "[team t]\nshare = 1\n[team t]\nshare = 2\n",
        ),
        (
            "an address named twice",
            "[vm x]\ndomain = a0\naddress = 10.0.0.1:1001\n",
        ),
        ("a host name", "[vm x]\ndomain = a0\naddress = host:1001\n"),
        (
            "a domain that is not there",
            "[vm x]\ndomain = q\naddress = 10.0.0.9:1\n",
        ),
        (
            "a group larger than any domain",
            "[model n]\nversion = v\nvms-per-group = 4\n",
        ),
        (
            "cold beyond warm",
            "[model n]\nversion = v\nslots = 2\ncold-slots = 3\n",
        ),
        ("a missing key", "[model n]\ngroups = 1\n"),
        ("a reserved prefix", "[service s]\nprefix = /v1/x\n"),
        ("a zero share", "[team t]\nshare = 0\n"),
        ("a key outside sections", "queue = 5s\n"),
        ("a syntax error", "[zone a\nout = yes\n"),
        ("a file over the store's value size", big.as_str()),
        ("nothing wrong", "[zone a]\nout = yes\n"),
    ];
    let mut messages = String::new();
    for (title, text) in cases {
        messages += &format!("== {title}\n{}", problems(&[("90-case.ini", text)]));
    }
    insta::assert_snapshot!(messages);
}

#[test]
fn files_merge_in_the_order_of_their_names() {
    let mut files = fleet_files(1, 3, 2, 1);
    files.insert("80-b.ini".into(), "[limits]\nqueue = 3s\n".to_owned());
    files.insert("90-a.ini".into(), "[limits]\nqueue = 4s\n".to_owned());
    let config = FleetConfig::parse(&files).expect("valid files");
    assert_eq!(config.limits.queue_timeout_ms, 4_000);
}

#[test]
fn a_concurrent_edit_is_rejected_and_reports_what_changed() {
    let first = ConfigRecord {
        revision: 1,
        nonce: 1,
        files: fleet_files(1, 3, 2, 1),
    };
    let add = ConfigEdit::Add {
        name: "70.ini".into(),
        text: "[team t]\nshare = 1\n".into(),
    };
    let second = add.apply(&first, 2).expect("a valid edit");
    assert_eq!(second.revision, 2);
    let stale = ConfigEdit::Apply {
        base: 1,
        files: first.files.clone(),
    };
    let error = stale.apply(&second, 3).expect_err("revision 2 is in force");
    insta::assert_snapshot!(error.to_string());
    let same = add.apply(&second, 4).expect("the same file again");
    assert_eq!(same.files, second.files);
}

#[test]
fn any_bytes_are_parsed_or_refused() {
    testutils::for_seeds(500, 400, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let headed = format!("[zone a]\nregion = r\n{text}");
        for text in [text, headed] {
            let _ = FleetConfig::parse(&BTreeMap::from([(SmolStr::from("x.ini"), text)]));
        }
        Ok(())
    });
}
