//! Settings of a process that are refused, and what operators are told.

use jujuberoad_node::settings::NodeSettings;

const GOOD: &str = "[process]\nid = router-1\nzone = zone-a\n[listen]\nhttp = 127.0.0.1:8080\n\
                    peer = 127.0.0.1:9080\n[platform]\naddress = 127.0.0.1:7000\n";

#[test]
fn faults_name_file_line_key_and_what_is_expected() {
    let cases = [
        ("nothing", String::new()),
        ("good", GOOD.to_owned()),
        ("no zone", GOOD.replace("zone = zone-a\n", "")),
        ("a host name", GOOD.replace("127.0.0.1:7000", "store:7000")),
        ("an unknown key", GOOD.replace("id =", "name =")),
        (
            "an unknown section",
            format!("{GOOD}[store]\naddress = 127.0.0.1:1\n"),
        ),
        ("an unknown level", format!("{GOOD}[log]\nlevel = loud\n")),
        (
            "no threads",
            GOOD.replace("zone = zone-a", "zone = zone-a\nthreads = 0"),
        ),
        (
            "a wrong collector",
            format!("{GOOD}[metrics]\nstatsd = here\n"),
        ),
    ];
    let mut told = String::new();
    for (title, text) in cases {
        told += &format!("== {title}\n");
        match NodeSettings::parse("router.ini", &text) {
            Ok(settings) => told += &format!("{} in {}\n", settings.id, settings.zone),
            Err(problems) => {
                for problem in problems {
                    told += &format!("{problem}\n");
                }
            }
        }
    }
    insta::assert_snapshot!(told);
}

#[test]
fn the_settings_reference_names_the_keys_of_the_code() {
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
        let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(
            told.iter().any(|problem| problem.ends_with(&expected)),
            "{section}: {told:?}"
        );
    }
    assert_eq!(sections, 5);
}
