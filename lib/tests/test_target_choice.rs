//! The choice among engines by routers that hear of each other late.
//!
//! The pattern: many routers, few wide groups, long prompts. A router that takes late
//! news for current ones shuns engines that are idle by now, as do all others, and
//! their prompts arrive together at the same engine and hold up its streams.

mod testutils;

use testutils::choice_sim::ChoiceOutcome;
use testutils::choice_sim::ChoicePlan;
use testutils::choice_sim::ChoiceSim;

/// Days that are played for a figure.
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

/// One stream in a hundred may be held up: callers of a calm day are promised that the
/// 99th part of pauses is below the longest one allowed.
#[test]
fn delayed_digests_do_not_overload_an_engine() {
    let total = run_all_seeds(&ChoicePlan::default());
    assert!(total.share(total.paused) < 0.01, "{total}");
    assert!(total.share(total.slow_first) < 0.02, "{total}");
    assert_eq!(total.refused, 0);
}

/// Bytes between zones are billed; with room in its own zone a router stays there.
#[test]
fn requests_stay_in_their_zone_while_it_has_room() {
    let total = run_all_seeds(&ChoicePlan::default());
    assert!(total.share(total.cross_zone) < 0.1, "{total}");
}

/// A zone that has lost most of its engines is helped by the others.
#[test]
fn a_zone_without_room_sends_to_others() {
    let plan = ChoicePlan {
        engines_per_zone: vec![1, 3, 3],
        ..ChoicePlan::default()
    };
    let total = run_all_seeds(&plan);
    assert!(total.share(total.cross_zone) > 0.05, "{total}");
    // These wait a moment for a slot; one in a hundred may.
    assert!(total.share(total.refused) < 0.01, "{total}");
}
