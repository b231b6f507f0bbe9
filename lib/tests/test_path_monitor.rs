//! Which failures of endpoints are taken for a lost path.

use std::time::Duration;
use std::time::Instant;

use insta::assert_snapshot;
use jujuberoad::fleet::PathMonitor;
use jujuberoad::fleet::RelayTable;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::ServiceId;
use jujuberoad::peer::RelayHead;

/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(10);
/// When the history of a case begins to differ from a calm one.
const TROUBLE_AT: u32 = 100;
/// When its trouble ends.
const CALM_AT: u32 = 200;
/// Length of a history.
const STEPS: u32 = 300;

/// What one endpoint shows in a step.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sign {
    /// An answer on a new connection.
    Connected,
    /// An event on an old connection.
    Event,
    Failed,
    Nothing,
}

/// A pattern of failures.
struct PathCase {
    name: &'static str,
    endpoints: u32,
    /// Returns what `endpoint` shows at `step` of the trouble.
    sign: fn(endpoint: u32, step: u32) -> Sign,
}

fn cases() -> Vec<PathCase> {
    vec![
        PathCase {
            name: "no path to any of 60",
            endpoints: 60,
            sign: |endpoint, step| {
                if (endpoint + step) % 10 == 0 {
                    Sign::Failed
                } else {
                    Sign::Nothing
                }
            },
        },
        PathCase {
            name: "a path to one of 60",
            endpoints: 60,
            sign: |endpoint, step| match (endpoint, (endpoint + step) % 10) {
                (0, _) => Sign::Connected,
                (_, 0) => Sign::Failed,
                _ => Sign::Nothing,
            },
        },
        PathCase {
            name: "a path to one of 3",
            endpoints: 3,
            sign: |endpoint, _| {
                if endpoint == 0 {
                    Sign::Connected
                } else {
                    Sign::Failed
                }
            },
        },
        PathCase {
            name: "new connections refused, old ones live on",
            endpoints: 20,
            sign: |endpoint, step| {
                if step % 5 == endpoint % 5 {
                    Sign::Failed
                } else {
                    Sign::Event
                }
            },
        },
        PathCase {
            name: "one of 60 is lost",
            endpoints: 60,
            sign: |endpoint, step| match (endpoint, (endpoint + step) % 10) {
                (0, _) => Sign::Failed,
                (_, 0) => Sign::Connected,
                _ => Sign::Event,
            },
        },
        PathCase {
            name: "a domain of 10 of 60 is lost",
            endpoints: 60,
            sign: |endpoint, step| match (endpoint, (endpoint + step) % 10) {
                (0..10, _) => Sign::Failed,
                (_, 0) => Sign::Connected,
                _ => Sign::Event,
            },
        },
        PathCase {
            name: "a pause of a second of one of 3",
            endpoints: 3,
            sign: |endpoint, _| {
                if endpoint == 0 {
                    Sign::Failed
                } else {
                    Sign::Connected
                }
            },
        },
        PathCase {
            name: "the only endpoint is lost",
            endpoints: 1,
            sign: |_, _| Sign::Failed,
        },
        PathCase {
            name: "no traffic",
            endpoints: 60,
            sign: |_, _| Sign::Nothing,
        },
    ]
}

/// Returns the spans, in milliseconds since the trouble began, in which the path counts as lost.
fn severed_spans(case: &PathCase) -> String {
    let start = Instant::now();
    let service = ServiceId::from("engines");
    let mut monitor = PathMonitor::default();
    let mut spans: Vec<(i64, i64)> = Vec::new();
    let mut since: Option<i64> = None;
    for step in 0..STEPS {
        let now = start + step * STEP;
        for endpoint in 0..case.endpoints {
            let id = EndpointId::from(format!("e{endpoint}"));
            let sign = if (TROUBLE_AT..CALM_AT).contains(&step) {
                (case.sign)(endpoint, step - TROUBLE_AT)
            } else if (endpoint + step) % 10 == 0 {
                Sign::Connected
            } else {
                Sign::Nothing
            };
            match sign {
                Sign::Connected => monitor.observe_contact(&service, &id, Some(now), now),
                Sign::Event => monitor.observe_contact(&service, &id, None, now),
                Sign::Failed => monitor.observe_failure(&service, &id, now),
                Sign::Nothing => {}
            }
        }
        let at = (i64::from(step) - i64::from(TROUBLE_AT)) * STEP.as_millis() as i64;
        match (monitor.is_severed(&service, now), since) {
            (true, None) => since = Some(at),
            (false, Some(begun)) => {
                spans.push((begun, at));
                since = None;
            }
            _ => {}
        }
    }
    let end = i64::from(STEPS - TROUBLE_AT) * STEP.as_millis() as i64;
    spans.extend(since.map(|begun| (begun, end)));
    let texts: Vec<String> = spans
        .iter()
        .map(|(from, to)| format!("{from} to {to}"))
        .collect();
    if texts.is_empty() {
        "never".to_owned()
    } else {
        texts.join(", ")
    }
}

/// Trouble lasts from 0 to 1,000 ms. A lost path is noticed soon and regained soon; endpoints that
/// are lost or pause are not taken for one. With a path to one of three endpoints, that one is used.
#[test]
fn lost_paths_are_told_from_lost_endpoints() {
    let lines: Vec<String> = cases()
        .iter()
        .map(|case| format!("{}: {}", case.name, severed_spans(case)))
        .collect();
    assert_snapshot!(lines.join("\n"), @r"
    no path to any of 60: 60 to 1060
    a path to one of 60: 60 to 1060
    a path to one of 3: never
    new connections refused, old ones live on: 60 to 1060
    one of 60 is lost: never
    a domain of 10 of 60 is lost: never
    a pause of a second of one of 3: never
    the only endpoint is lost: never
    no traffic: never
    ");
}

/// A service without contact since another one was lost shares its fate until it is reached.
#[test]
fn an_idle_service_follows_one_whose_path_is_lost() {
    let start = Instant::now();
    let (busy, idle) = (ServiceId::from("engines"), ServiceId::from("records"));
    let id = |name: &str| EndpointId::from(name);
    let mut monitor = PathMonitor::default();
    monitor.observe_contact(&idle, &id("r0"), Some(start), start);
    monitor.observe_failure(&busy, &id("e0"), start + STEP);
    monitor.observe_failure(&busy, &id("e1"), start + STEP);
    let later = start + 10 * STEP;
    assert!(monitor.is_severed(&busy, later));
    assert!(monitor.is_severed(&idle, later));
    monitor.observe_contact(&idle, &id("r0"), Some(later + STEP), later + STEP);
    assert!(!monitor.is_severed(&idle, later + 2 * STEP));
    assert!(monitor.is_severed(&busy, later + 2 * STEP));
}

/// Peers that share the fate or do not answer are spared, and the load is spread over the others.
#[test]
fn relays_go_to_peers_that_reach_the_service() {
    let start = Instant::now();
    let service = ServiceId::from("engines");
    let peers: Vec<RouterId> = (0..5).map(|index| format!("g{index}").into()).collect();
    let mut table = RelayTable::default();
    table.observe_lost_paths(&peers[0], [service.clone()].into(), start);
    table.observe_lost_paths(&peers[1], ["records".into()].into(), start);
    table.observe_silence(&peers[2], start);
    let mut counts = [0; 5];
    let later = start + STEP;
    for _ in 0..90 {
        let picked = table.pick(peers.iter(), &service, later, fastrand::f64);
        let picked = picked.expect("a peer that reaches the service").clone();
        let index = peers.iter().position(|peer| *peer == picked);
        counts[index.expect("a known peer")] += 1;
        table.begin(&picked, later);
    }
    assert_eq!(counts, [0, 30, 0, 30, 30]);
    let alone = table.pick(peers[..1].iter(), &service, later, fastrand::f64);
    assert_eq!(alone, None);
    let after = start + Duration::from_secs(2);
    let again = table.pick(peers[..1].iter(), &service, after, fastrand::f64);
    assert_eq!(again, Some(&peers[0]));
}

/// Heads of relayed requests survive the way, and malformed ones are errors.
#[test]
fn relay_heads_are_read_and_malformed_ones_refused() {
    let head = RelayHead {
        sender: "edge-1,2".into(),
        config_version: u64::MAX,
        runs: 3,
        is_counted: false,
    };
    assert_eq!(head.to_string().parse(), Ok(head));
    for text in [
        "",
        "1",
        "1,2,0,",
        "1,2,3,g",
        "-1,0,0,g",
        "1,4294967296,0,g",
        "1,0,0",
    ] {
        assert!(text.parse::<RelayHead>().is_err(), "{text:?}");
    }
}
