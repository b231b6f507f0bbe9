//! Tests of limits on the rate of requests that endpoints name.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use insta::assert_snapshot;
use jujuberoad::fleet::LimitStatement;
use jujuberoad::fleet::LimitTable;
use jujuberoad::fleet::QuotaDivider;
use jujuberoad::fleet::RateLimits;
use jujuberoad::fleet::SendPacer;
use smol_str::format_smolstr;
use testutils::limit_sim::LimitOutcome;
use testutils::limit_sim::LimitPhase;
use testutils::limit_sim::LimitRule;
use testutils::limit_sim::LimitScenario;
use testutils::limit_sim::LimitSim;

/// Name, number of routers, rate while cold, limit per 1,000 s, and how long ago each request was
/// sent in milliseconds.
type RoomCase = (
    &'static str,
    usize,
    Option<f64>,
    Option<u64>,
    &'static [u64],
);

/// Limit of a statement, when it was asked for and when it was answered.
type StatementCase = (Option<u64>, u64, u64);

fn phase(from_ms: u64, until_ms: u64, per_1000_s: u64) -> LimitPhase {
    LimitPhase {
        from_ms,
        until_ms,
        per_1000_s,
    }
}

/// Returns the patterns of limits, by name.
fn patterns() -> Vec<(&'static str, Vec<LimitPhase>)> {
    vec![
        ("one limit", vec![phase(4_000, 23_000, 3_700)]),
        (
            "falling",
            vec![phase(4_000, 23_000, 8_000), phase(9_000, 23_000, 5_000)],
        ),
        (
            "rising",
            vec![phase(4_000, 12_000, 2_000), phase(4_000, 23_000, 6_000)],
        ),
        (
            "overlapping",
            vec![
                phase(3_000, 12_000, 4_000),
                phase(8_000, 18_000, 3_000),
                phase(16_000, 23_000, 5_000),
            ],
        ),
        (
            "again",
            vec![phase(3_000, 9_000, 4_000), phase(13_000, 23_000, 4_000)],
        ),
        ("very low", vec![phase(4_000, 23_000, 150)]),
        ("none", vec![phase(4_000, 23_000, 0)]),
    ]
}

/// Sizes of fleets: routers, endpoints and requests per second.
const SIZES: [(usize, usize, u64); 4] =
    [(1, 3, 20), (5, 14, 160), (31, 30, 320), (118, 140, 1_050)];

fn scenario(size: (usize, usize, u64), phases: &[LimitPhase]) -> LimitScenario {
    let (routers, endpoints, requests_per_second) = size;
    LimitScenario {
        routers,
        endpoints,
        limited: (endpoints * 7).div_ceil(10),
        requests_per_second,
        phases: phases.to_vec(),
    }
}

fn run(scenario: &LimitScenario, rule: LimitRule, seed: u64) -> LimitOutcome {
    LimitSim::new(scenario.clone(), rule, seed).run()
}

/// Guards against endpoints in need that get more requests from all routers than they say they
/// take, for fleets of all sizes and limits that change while requests are in progress.
#[test]
fn requests_of_all_routers_stay_within_named_limits() {
    for (size, seeds) in SIZES.into_iter().zip([10, 5, 1, 1]) {
        for (name, phases) in patterns() {
            // A run of the largest fleet takes seconds.
            if size == SIZES[3] && name != "overlapping" {
                continue;
            }
            let scenario = scenario(size, &phases);
            for seed in 0..seeds {
                let outcome = run(&scenario, LimitRule::Kept, seed);
                let excesses = outcome.excesses;
                assert!(
                    excesses.is_empty(),
                    "{name}, {size:?}, {seed}: {excesses:?}"
                );
            }
        }
    }
}

/// Control: the simulation notices routers that do not regard limits, and routers that each take
/// a limit for themselves.
#[test]
fn excess_requests_are_noticed() {
    for rule in [LimitRule::Ignored, LimitRule::NotDivided] {
        let (_, phases) = patterns().swap_remove(0);
        let outcome = run(&scenario(SIZES[1], &phases), rule, 0);
        assert!(!outcome.excesses.is_empty(), "{rule:?}");
    }
}

/// Guards against limited endpoints that are hardly used, and against ones that stay limited
/// after their limit has ended.
#[test]
fn limited_endpoints_are_used_up_to_their_limit() {
    for size in [SIZES[0], SIZES[1], SIZES[2]] {
        let (_, phases) = patterns().swap_remove(0);
        let scenario = scenario(size, &phases);
        let outcome = run(&scenario, LimitRule::Kept, 0);
        let used = outcome.limited_arrivals as f64 / outcome.limited_room;
        assert!(used >= 0.5, "{size:?}: {used}");
    }
    for (name, phases) in patterns() {
        let outcome = run(&scenario(SIZES[1], &phases), LimitRule::Kept, 1);
        let (routers, endpoints, rate) = SIZES[1];
        // A quarter of an equal share over the 3 s that are counted.
        let limited = (endpoints * 7).div_ceil(10) as u64;
        let fair = 3 * rate * limited / endpoints as u64;
        let late = outcome.late_arrivals as u64;
        assert!(
            late * 4 >= fair,
            "{name}, {routers} routers: {late} of {fair}"
        );
    }
}

/// Guards against requests that wait for an endpoint which takes none in time.
#[test]
fn the_next_room_of_a_router_is_known() {
    let start = Instant::now();
    let now = start + Duration::from_secs(20);
    let divider = |routers: usize| {
        let mut divider = QuotaDivider::new("r0".into(), 10_000);
        (1..routers).for_each(|index| divider.add(&format_smolstr!("r{index}")));
        divider.list_read(start);
        divider
    };
    let cases: [RoomCase; 10] = [
        ("no limit", 1, None, None, &[900, 10, 5]),
        ("limit of 2 a second, idle", 1, None, Some(2_000), &[]),
        (
            "limit of 2 a second, paced",
            1,
            None,
            Some(2_000),
            &[600, 500],
        ),
        (
            "limit of 2 a second, used up",
            1,
            None,
            Some(2_000),
            &[4_100, 3_000, 3_000, 2_000, 2_000, 1_900, 1_800, 1_700],
        ),
        ("limit of 0.2 a second", 1, None, Some(200), &[1_000]),
        ("limit of none", 1, None, Some(0), &[1_000]),
        (
            "limit of 2 a second, 400 routers",
            400,
            None,
            Some(2_000),
            &[],
        ),
        ("limit beyond all numbers", 3, None, Some(u64::MAX), &[0]),
        ("cold", 1, Some(2.0), None, &[800, 700]),
        ("cold and limited", 1, Some(2.0), Some(200), &[800, 700]),
    ];
    let mut rendered = Vec::new();
    for (name, routers, cold_per_second, named, sent_ms_ago) in cases {
        let mut pacer = SendPacer::default();
        for ago in sent_ms_ago {
            pacer.record_send(&"e1".into(), now - Duration::from_millis(*ago));
        }
        let limits = RateLimits {
            cold_per_second,
            named,
        };
        let room_at = pacer.room_at(&"e1".into(), limits, &divider(routers), now);
        let wait = room_at.map(|room_at| room_at - now);
        let is_free = pacer.may_send(&"e1".into(), limits, &divider(routers), now);
        rendered.push(format!("{name}: {wait:?} {is_free}"));
    }
    assert_snapshot!(rendered.join("\n"));
}

/// Guards against a limit that an older response brings back or lifts too early.
#[test]
fn the_order_of_statements_decides() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let cases: [(&str, &[StatementCase]); 9] = [
        ("named", &[(Some(4), 0, 10)]),
        ("never named", &[(None, 0, 10)]),
        ("lifted", &[(Some(4), 0, 10), (None, 10, 20)]),
        (
            "overlapping answer without it",
            &[(Some(4), 0, 10), (None, 5, 20)],
        ),
        (
            "older answer without it",
            &[(Some(4), 20, 30), (None, 0, 10)],
        ),
        (
            "older limit after its end",
            &[(Some(4), 0, 10), (None, 10, 20), (Some(4), 2, 9)],
        ),
        ("raised", &[(Some(4), 0, 10), (Some(8), 11, 20)]),
        ("overlapping rise", &[(Some(4), 0, 10), (Some(8), 5, 12)]),
        ("overlapping fall", &[(Some(8), 0, 10), (Some(4), 5, 12)]),
    ];
    let mut rendered = Vec::new();
    for (name, statements) in cases {
        let mut table = LimitTable::default();
        let endpoint = "e1".into();
        let mut changes = Vec::new();
        for (limit, asked, answered) in statements {
            let statement = LimitStatement {
                limit: *limit,
                asked_at: at(*asked),
                answered_at: at(*answered),
            };
            changes.push(table.observe(&endpoint, statement, statement.answered_at));
        }
        rendered.push(format!("{name}: {:?} {changes:?}", table.limit("e1")));
    }
    assert_snapshot!(rendered.join("\n"));
}

/// Guards against endpoints that are gone and still take memory, and against limits that stay
/// with a router which was not told of their end.
#[test]
fn limits_that_nobody_repeats_are_forgotten() {
    let start = Instant::now();
    let late = start + Duration::from_secs(60);
    let mut table = LimitTable::default();
    let statement = |limit| LimitStatement {
        limit,
        asked_at: start,
        answered_at: start,
    };
    for endpoint in ["repeated", "gone", "lifted", "silent"] {
        assert!(table.observe(&endpoint.into(), statement(Some(4)), start));
    }
    assert!(table.observe(&"lifted".into(), statement(None), start));
    assert!(!table.observe(&"repeated".into(), statement(Some(4)), late));
    assert!(!table.observe(&"gone".into(), statement(Some(4)), late));
    table.prune(late, |endpoint| endpoint != "gone");
    let limits = ["repeated", "gone", "lifted", "silent"].map(|endpoint| table.limit(endpoint));
    assert_eq!(limits, [Some(4), None, None, None]);
    assert_eq!((table.len(), table.is_empty()), (1, false));
    // The end of a limit is forgotten too, so an old statement holds again.
    assert!(table.observe(&"lifted".into(), statement(Some(4)), late));
}
