//! Tests of routes, event splitting and queueing time.

mod testutils;

use std::time::Duration;

use insta::assert_snapshot;
use jujuberoad::admission::FirstEventLatency;
use jujuberoad::admission::RetryDetector;
use jujuberoad::fleet::PoolKey;
use jujuberoad::routing::EventSplitter;
use jujuberoad::serving::RouteKind;
use jujuberoad::serving::RouteSpec;
use jujuberoad::serving::ServiceShare;
use jujuberoad::serving::ServingConfig;
use jujuberoad::serving::TeamAccess;
use jujuberoad::serving::TrafficLimits;
use testutils::draw;
use testutils::for_seeds;

fn route(name: &str, host: &str, prefix: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        ..RouteSpec::default()
    }
}

#[test]
fn the_longest_matching_prefix_selects_the_route() {
    let routes = vec![
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("flat", "a.example", "/x/"),
        route("other", "b.example", "/x/"),
    ];
    let teams = vec![TeamAccess {
        team: "t".into(),
        keys: vec!["k1".into(), "k2".into()],
        priority: None,
    }];
    let limits = TrafficLimits::default();
    let config = ServingConfig::new(1, routes, Vec::new(), Some(teams), limits);
    let mut lines = Vec::new();
    for (host, path) in [
        ("a.example", "/x/y/z"),
        ("a.example", "/x/yz"),
        ("A.Example:8080", "/x/"),
        ("a.example", "/x"),
        ("b.example", "/y"),
        ("c.example", "/x/"),
    ] {
        let found = config
            .find_route(host, path)
            .map(|route| route.name.as_str());
        lines.push(format!("{host}{path}: {}", found.unwrap_or("none")));
    }
    for key in ["k1", "k2", "k3", ""] {
        let team = config.team_of(key).map(|team| team.team.as_str());
        lines.push(format!("key {key:?}: {}", team.unwrap_or("none")));
    }
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn services_are_picked_by_weight() {
    let share = |service: &str, weight| ServiceShare {
        service: service.into(),
        weight,
    };
    let mut spec = route("r", "a.example", "/");
    spec.shares = vec![share("a", 90.0), share("none", 0.0), share("b", 10.0)];
    let picked = |draw| {
        spec.pick_service(draw)
            .map(|share| share.service.to_string())
    };
    let picks: Vec<_> = [0.0, 0.5, 0.899, 0.9, 0.999]
        .into_iter()
        .filter_map(picked)
        .collect();
    assert_snapshot!(picks.join(" "), @"a a a b b");
    spec.shares.clear();
    assert_eq!(spec.pick_service(0.5), None);
}

#[test]
fn only_repeatable_routes_may_run_twice() {
    let mut spec = route("r", "a.example", "/");
    let mut lines = Vec::new();
    for kind in [
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Streaming,
    ] {
        for is_resumable in [false, true] {
            spec.kind = kind;
            spec.is_resumable = is_resumable;
            lines.push(format!(
                "{kind} resumable={is_resumable}: {}",
                spec.is_repeatable()
            ));
        }
    }
    assert_snapshot!(lines.join("\n"));
}

/// For any chunking and any truncation of a stream, the splitter returns the same
/// complete events and no partial one.
#[test]
fn events_are_split_the_same_for_any_chunking() {
    let text = "id: 1\ndata: a\n\n: note\n\nversion: 7\nid: 2\ndata: b\ndata: c\n\n\
        id: 3\r\ndata: d\r\n\r\nid: x\ndata: e\n\n";
    let whole = events_of(&[text.as_bytes()]).0;
    assert_eq!(whole.len(), 5);
    assert_eq!(whole.concat(), text);
    for_seeds(300, 200, |u| {
        let end = draw(u, 0, text.len() as u64)? as usize;
        let mut pieces = Vec::new();
        let mut at = 0;
        while at < end {
            let next = (at + draw(u, 1, 20)? as usize).min(end);
            pieces.push(&text.as_bytes()[at..next]);
            at = next;
        }
        let (events, has_partial_event) = events_of(&pieces);
        assert_eq!(events[..], whole[..events.len()]);
        let passed: usize = events.iter().map(String::len).sum();
        assert_eq!(has_partial_event, passed < end);
        Ok(())
    });
}

/// Whatever bytes arrive, in whatever pieces: every byte is in an event or still buffered, and
/// the pieces make no difference.
#[test]
fn any_bytes_are_split_without_loss() {
    let tokens: [&[u8]; 9] = [
        b"\n", b"\r\n", b"\r", b"id:", b" 7", b"data: x", b":", b"\xff\0", b"id: 9",
    ];
    for_seeds(2_000, 300, |u| {
        let mut bytes = Vec::new();
        while !u.is_empty() && bytes.len() < 200 {
            bytes.extend_from_slice(u.choose(&tokens)?);
        }
        let mut splitter = EventSplitter::default();
        let mut at = 0;
        let mut events = Vec::new();
        while at < bytes.len() {
            let next = (at + draw(u, 1, 9)? as usize).min(bytes.len());
            splitter.push(&bytes[at..next]);
            at = next;
            while let Some(event) = splitter.next_event() {
                assert!(event.bytes.ends_with(b"\n"), "{bytes:?}");
                events.push(event);
            }
        }
        let mut whole = EventSplitter::default();
        whole.push(&bytes);
        let expected: Vec<_> = std::iter::from_fn(|| whole.next_event()).collect();
        assert_eq!(events, expected, "{bytes:?}");
        let passed: usize = events.iter().map(|event| event.bytes.len()).sum();
        assert_eq!(splitter.has_partial_event(), passed < bytes.len());
        let joined: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        assert_eq!(joined, bytes[..passed]);
        Ok(())
    });
}

fn events_of(pieces: &[&[u8]]) -> (Vec<String>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(String::from_utf8_lossy(&event.bytes).into_owned());
        }
    }
    (events, splitter.has_partial_event())
}

#[test]
fn event_ids_are_read_from_id_fields_only() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"ver: 3\nid: 12\ndata: id: 9\n\ndata: none\n\nid: no\n\n");
    let mut ids = Vec::new();
    while let Some(event) = splitter.next_event() {
        ids.push(event.id);
    }
    assert_eq!(ids, [Some(12), None, None]);
}

/// In a burst with more callers than slots, a request may wait only as long as its first
/// event can still meet the objective. A caller that returns late does not wait at all;
/// `RetryDetector` measures how late it is.
#[test]
fn waiting_ends_when_the_first_event_would_miss_its_objective() {
    let pool = PoolKey {
        service: "s".into(),
        model: None,
    };
    let mut latency = FirstEventLatency::default();
    assert_eq!(latency.max_wait(&pool, 300), Duration::from_millis(150));
    // A first event does not count as missing until the shortest objective is close.
    assert_eq!(
        latency.first_event_timeout(&pool),
        Duration::from_millis(220)
    );
    for _ in 0..200 {
        latency.observe(&pool, Duration::from_millis(180));
    }
    let wait = latency.max_wait(&pool, 300).as_millis();
    assert!((119..=121).contains(&wait), "{wait}");
    for _ in 0..200 {
        latency.observe(&pool, Duration::from_millis(400));
    }
    assert_eq!(latency.max_wait(&pool, 300), Duration::ZERO);
    let missing = latency.first_event_timeout(&pool).as_millis();
    assert!((790..=810).contains(&missing), "{missing}");

    let mut detector = RetryDetector::default();
    let route = "r".into();
    let ages: Vec<u64> = [6_000, 5_900, 6_000, 4_100]
        .map(|ms| detector.observe(&route, ms))
        .into();
    assert_eq!(ages, [0, 100, 0, 1_900]);
}
