//! The settings reference lists exactly the configuration keys that the code accepts.

use std::collections::BTreeMap;

use jujuberoad::config::FleetConfig;

/// Returns the `[section] | keys` table rows below a heading of the page.
fn rows(heading: &str) -> Vec<(String, String)> {
    let page = std::fs::read_to_string("../docs/settings.md").expect("settings page is readable");
    let part = page.split(heading).nth(1).expect("page has the heading");
    let part = part.split("\n## ").next().expect("heading has a body");
    let mut rows = Vec::new();
    for line in part.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, section, keys, _] = cells.as_slice() else {
            continue;
        };
        let Some(section) = section
            .strip_prefix("`[")
            .and_then(|rest| rest.strip_suffix("]`"))
        else {
            continue;
        };
        rows.push((section.to_owned(), (*keys).to_owned()));
    }
    rows
}

#[test]
fn configuration_keys_are_those_of_the_code() {
    let rows = rows("## Configuration files");
    assert_eq!(rows.len(), 8);
    for (section, keys) in rows {
        let text = format!("[{section}]\nno-such-key = 1\n");
        let files = BTreeMap::from([("x.ini".into(), text)]);
        let problems = FleetConfig::parse(&files).expect_err("unknown key is rejected");
        let expected = format!("expected one of {keys}");
        let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(
            messages.iter().any(|problem| problem.ends_with(&expected)),
            "{section}: {messages:?}"
        );
    }
}
