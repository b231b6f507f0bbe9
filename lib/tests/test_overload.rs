//! Who is served when a pool has less room than its callers ask for.
//!
//! Guards against refusals and late answers that another order would have avoided. Each table
//! gives the answers on time, late, refused for good and lost with their router, by pool,
//! priority and team, under the rules without (`before`) and with the order (`after`).

mod testutils;

use std::time::{Duration, Instant};

use jujuberoad::admission::overload::{PoolActivity, WaitEstimate, retry_at};
use testutils::overload_plan::{Digests, OverloadPlan, pool_class};
use testutils::overload_sim::OverloadSim;

/// Runs that are added up in a table, one for each seed.
const SEEDS: u64 = 4;

fn plan(load: fn(usize, usize, u64) -> f64) -> OverloadPlan {
    OverloadPlan {
        load,
        lost_targets: 0,
        lost_router: None,
        returns: 1,
        at_once: false,
        digests: Digests::Live,
        is_ordered: false,
    }
}

fn in_burst(now_ms: u64, factor: f64) -> f64 {
    if (2_000..6_000).contains(&now_ms) {
        factor
    } else {
        1.0
    }
}

fn burst_on_all(_class: usize, _router: usize, now_ms: u64) -> f64 {
    in_burst(now_ms, 2.5)
}

/// Runs a plan under both rules and returns the table of their ends.
fn compare(plan: OverloadPlan) -> String {
    let mut table = String::from("rules   requests       on time  late refused lost\n");
    let before = OverloadSim::run(&plan, SEEDS);
    before.describe("before", &mut table);
    let is_ordered = true;
    let after = OverloadSim::run(&OverloadPlan { is_ordered, ..plan }, SEEDS);
    after.describe("after", &mut table);
    table
}

#[test]
fn a_burst_on_all_routes() {
    insta::assert_snapshot!(compare(plan(burst_on_all)));
}

#[test]
fn a_burst_on_one_model() {
    let load = |class, _, now_ms| {
        if class < 3 {
            in_burst(now_ms, 2.5)
        } else {
            1.0
        }
    };
    insta::assert_snapshot!(compare(plan(load)));
}

#[test]
fn a_burst_on_one_team() {
    let load = |class, _, now_ms| {
        if class == 4 {
            in_burst(now_ms, 5.0)
        } else {
            1.0
        }
    };
    insta::assert_snapshot!(compare(plan(load)));
}

#[test]
fn a_burst_in_one_zone() {
    let load = |_, router, now_ms| {
        if router < 4 {
            in_burst(now_ms, 4.0)
        } else {
            1.0
        }
    };
    insta::assert_snapshot!(compare(plan(load)));
}

#[test]
fn a_burst_with_a_tenth_of_the_endpoints_lost() {
    let lost_targets = 1;
    let plan = plan(|_, _, now_ms| in_burst(now_ms, 1.7));
    insta::assert_snapshot!(compare(OverloadPlan {
        lost_targets,
        ..plan
    }));
}

#[test]
fn retries_that_multiply() {
    let (returns, at_once) = (4, true);
    insta::assert_snapshot!(compare(OverloadPlan {
        returns,
        at_once,
        ..plan(burst_on_all)
    }));
}

#[test]
fn a_wave_whose_trough_could_carry_its_crest() {
    let load = |_, _, now_ms: u64| 1.0 + 0.55 * (now_ms as f64 / 400.0).sin();
    insta::assert_snapshot!(compare(plan(load)));
}

#[test]
fn digests_are_missing() {
    let digests = Digests::Missing;
    insta::assert_snapshot!(compare(OverloadPlan {
        digests,
        ..plan(burst_on_all)
    }));
}

#[test]
fn a_third_of_the_routers_are_older() {
    let digests = Digests::OlderRouters(4);
    insta::assert_snapshot!(compare(OverloadPlan {
        digests,
        ..plan(burst_on_all)
    }));
}

/// Digests of before the burst must not hold back requests for longer than they are valid.
#[test]
fn digests_become_stale_in_a_burst() {
    let digests = Digests::EndAt(3_000);
    insta::assert_snapshot!(compare(OverloadPlan {
        digests,
        ..plan(burst_on_all)
    }));
}

/// The waiting requests of a lost router must not hold back others once its digest has expired.
#[test]
fn a_router_is_lost_with_its_waiting_requests() {
    let lost_router = Some(3);
    insta::assert_snapshot!(compare(OverloadPlan {
        lost_router,
        ..plan(burst_on_all)
    }));
}

/// A caller that is told to return after a third of its time gives up, and callers that all return
/// when room is expected form the next wave.
#[test]
fn refused_callers_return_in_time_and_spread() {
    let now = Instant::now();
    for remaining_ms in [0, 100, 900, 4_000] {
        for ahead in [0, 30, 1_000] {
            let remaining = Duration::from_millis(remaining_ms);
            let estimate = WaitEstimate::new(ahead, 100, now);
            let first = retry_at(estimate, now + remaining, 0.0, now);
            let last = retry_at(estimate, now + remaining, 1.0, now);
            assert!(last - now <= remaining / 3, "{remaining:?} {ahead}");
            assert!(last - first >= remaining.min(Duration::from_millis(900)) / 9);
        }
    }
}

/// Requests that ended long ago would make a pool that has lost its targets look fast.
#[test]
fn ended_requests_count_for_a_second() {
    let now = Instant::now();
    let mut activity = PoolActivity::default();
    let class = pool_class(0);
    activity.begin_run(&class);
    assert_eq!(activity.snapshot(now)[0].running, 1);
    activity.end_run(&class, now);
    let later = |ms| now + Duration::from_millis(ms);
    assert_eq!(activity.snapshot(later(999))[0].finished, 1);
    assert!(activity.snapshot(later(1_000)).is_empty());
}
