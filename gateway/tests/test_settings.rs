//! Settings of the gateway: what is accepted and how faults are told.

use insta::assert_snapshot;
use jujuberoad_gateway::GatewaySettings;

const GOOD: &str = "[process]\nid = g1\nzone = z1\n\n[listen]\ncallers = 10.0.0.1:80\n\
    readiness = 10.0.0.1:81\nmetrics = 10.0.0.1:82\npeers = 10.0.0.1:83\n\n\
    [store]\naddress = 10.0.0.9:70\n";

fn told(text: &str) -> String {
    match GatewaySettings::parse("gateway.ini", text) {
        Ok(settings) => format!("{settings:#?}"),
        Err(problems) => problems
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    }
}

#[test]
fn what_is_left_out_has_its_default() {
    assert_snapshot!(told(GOOD));
}

#[test]
fn faults_name_the_file_and_the_key() {
    let cases = [
        ("empty", String::new()),
        ("unknown section", format!("{GOOD}[peers]\nx = 1\n")),
        ("unknown key", format!("{GOOD}[limits]\ngrade = 8s\n")),
        ("no unit", format!("{GOOD}[limits]\ngrace = 8\n")),
        (
            "negative ratio",
            format!("{GOOD}[limits]\nretry_ratio = -1\n"),
        ),
        ("no number", format!("{GOOD}[limits]\nretry_fixed = many\n")),
        (
            "flag",
            GOOD.replace("zone = z1", "zone = z1\nfirst_start = 1"),
        ),
        ("address", GOOD.replace("10.0.0.1:80\n", "somewhere\n")),
    ];
    let mut all = String::new();
    for (title, text) in cases {
        all += &format!("== {title}\n{}\n", told(&text));
    }
    assert_snapshot!(all);
}

#[test]
fn the_reference_names_the_keys_of_the_code() {
    let page = std::fs::read_to_string("../docs/settings-gateway.md").expect("the page");
    let mut named: Vec<(String, String)> = Vec::new();
    let mut section = String::new();
    for line in page.lines().filter(|line| line.starts_with('|')) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if cells[1].starts_with("`[") {
            section = cells[1].trim_matches('`').to_owned();
        }
        if section.is_empty() {
            continue;
        }
        for key in cells[2].split(", ") {
            named.push((section.clone(), key.to_owned()));
        }
    }
    assert_eq!(named.len(), 14);
    for (section, key) in named {
        // A key that is known is not refused as unknown, whatever its value.
        let problems = told(&format!("{section}\n{key} = x\nno_such_key = 1\n"));
        assert!(
            !problems.contains(&format!("{key:?} is not known")),
            "{section} {key}"
        );
        assert!(problems.contains(&key), "{section} {key}: {problems}");
    }
}

/// The template of the users' platform, filled as that fills it.
#[test]
fn the_template_gives_valid_settings() {
    let template = std::fs::read_to_string("../deploy/gateway.ini").expect("the template");
    let mut text = template.replace(
        "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
        "yes",
    );
    for (name, value) in [
        ("nodeName", "edge-1"),
        ("zone", "z1"),
        ("bind.clientAddr", "10.1.0.40:8227"),
        ("bind.readiness", "10.1.0.40:8220"),
        ("ip", "10.1.0.40"),
        ("portRange.0", "7340"),
        ("platform.address", "10.200.1.7:8223"),
        ("platform.ttlMinMs", "1000"),
        ("contractParams.graceS", "8"),
        ("contractParams.drainMs", "2000"),
        ("contractParams.budgetWindowS", "10"),
        ("contractParams.budgetRatio", "0.2"),
        ("contractParams.budgetSlack", "105"),
    ] {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert_snapshot!(told(&text));
}
