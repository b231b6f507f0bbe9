//! Target choice by routers whose load information about each other is delayed.
//!
//! Guards against herding with many routers, few large groups and long prompts: when
//! routers treat outdated loads as current, all of them avoid engines that have become
//! idle, and their prompts arrive together at another engine and delay its streams.

mod testutils;

use testutils::choice_sim::ChoiceOutcome;
use testutils::choice_sim::ChoicePlan;
use testutils::choice_sim::ChoiceSim;

/// Simulated runs of 30 s per test, one for each seed.
const SEEDS: u64 = 10;

fn run_all_seeds(plan: &ChoicePlan) -> ChoiceOutcome {
    let mut total = ChoiceOutcome::default();
    for seed in 0..SEEDS {
        let mut sim = ChoiceSim::new(plan.clone(), seed);
        sim.run(30_000);
        total.add(&sim.outcome);
    }
    println!("{total}");
    total
}

/// At most one stream in a hundred may be delayed: on a day without failures the 99th
/// percentile of the pauses must stay below the longest pause allowed.
#[test]
fn delayed_digests_do_not_overload_an_engine() {
    let total = run_all_seeds(&ChoicePlan::default());
    assert!(total.share(total.paused) < 0.01, "{total}");
    assert!(total.share(total.slow_first) < 0.02, "{total}");
    assert_eq!(total.refused, 0);
}

/// Traffic between zones is billed, so a router stays in its own zone while that has capacity.
#[test]
fn requests_stay_in_their_zone_while_it_has_room() {
    let total = run_all_seeds(&ChoicePlan::default());
    assert!(total.share(total.cross_zone) < 0.1, "{total}");
}

/// Requests of a zone that has lost most of its engines go to other zones.
#[test]
fn a_zone_without_room_sends_to_others() {
    let plan = ChoicePlan {
        engines_per_zone: vec![1, 3, 3],
        ..ChoicePlan::default()
    };
    let total = run_all_seeds(&plan);
    assert!(total.share(total.cross_zone) > 0.05, "{total}");
    // Refused requests wait briefly for a slot; at most one in a hundred may have to.
    assert!(total.share(total.refused) < 0.01, "{total}");
}
