//! Tests of the process settings: accepted files and reported problems.

use jujuberoad_node::settings::NodeSettings;

const MINIMAL_SETTINGS: &str = "[process]\nid = router-1\nzone = zone-a\n[listen]\nhttp = 127.0.0.1:8080\n\
                    peer = 127.0.0.1:9080\n[platform]\naddress = 127.0.0.1:7000\n";

#[test]
fn problems_name_file_line_key_and_expectation() {
    let cases = [
        ("nothing", String::new()),
        ("good", MINIMAL_SETTINGS.to_owned()),
        ("no zone", MINIMAL_SETTINGS.replace("zone = zone-a\n", "")),
        (
            "a host name",
            MINIMAL_SETTINGS.replace("127.0.0.1:7000", "store:7000"),
        ),
        ("an unknown key", MINIMAL_SETTINGS.replace("id =", "name =")),
        (
            "an unknown section",
            format!("{MINIMAL_SETTINGS}[store]\naddress = 127.0.0.1:1\n"),
        ),
        (
            "an unknown level",
            format!("{MINIMAL_SETTINGS}[log]\nlevel = loud\n"),
        ),
        (
            "no threads",
            MINIMAL_SETTINGS.replace("zone = zone-a", "zone = zone-a\nthreads = 0"),
        ),
        (
            "a wrong collector",
            format!("{MINIMAL_SETTINGS}[metrics]\nstatsd = here\n"),
        ),
    ];
    let mut rendered = String::new();
    for (title, text) in cases {
        rendered += &format!("== {title}\n");
        match NodeSettings::parse("router.ini", &text) {
            Ok(settings) => rendered += &format!("{} in {}\n", settings.id, settings.zone),
            Err(problems) => {
                for problem in problems {
                    rendered += &format!("{problem}\n");
                }
            }
        }
    }
    insta::assert_snapshot!(rendered);
}

#[test]
fn reference_page_names_known_keys() {
    let page = std::fs::read_to_string("../docs/settings.md").expect("the page");
    let part = page
        .split("## Settings of a process")
        .nth(1)
        .expect("the heading");
    let mut sections = 0;
    for line in part.lines().filter(|line| line.starts_with("| `[")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let section = cells[1].trim_matches('`');
        sections += 1;
        let text = format!("{section}\nno-such-key = 1\n");
        let problems = NodeSettings::parse("x.ini", &text).expect_err("an unknown key");
        let expected = format!("expected one of {}", cells[2]);
        let rendered: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(
            rendered.iter().any(|problem| problem.ends_with(&expected)),
            "{section}: {rendered:?}"
        );
    }
    assert_eq!(sections, 5);
}
