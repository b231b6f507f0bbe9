//! Paces of targets, with batching engines in virtual time.
//!
//! Guards against targets that are flooded when they start, that stay idle, and against paces
//! that fall in an overload of the whole pool.

mod testutils;

use std::time::Duration;
use std::time::Instant;

use insta::assert_snapshot;
use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::PoolKey;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::pace::PaceTable;
use testutils::pace_sim::OBJECTIVE_MS;
use testutils::pace_sim::PacePlan;
use testutils::pace_sim::PaceSim;

/// Time at which something happens to engine 0 or a burst begins.
const EVENT_MS: u64 = 6_000;
const END_MS: u64 = 20_000;
const SEEDS: u64 = 3;

/// An idle fleet of 8 engines, with 110 requests per second over 30 routers.
const PLAN: PacePlan = PacePlan {
    routers: 30,
    has_paces: true,
    is_older: false,
    lost_digests: 0.0,
    rate: |_| 110.0,
    listed_from: 0,
    excluded_until: 0,
    slowness: |_| 1.0,
};
const NEW: PacePlan = PacePlan {
    listed_from: EVENT_MS,
    ..PLAN
};

fn target(index: usize) -> ServingTarget {
    ServingTarget {
        endpoint: format!("h{index}").into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        group: None,
        members: Vec::new(),
        slots: 34,
        cold_until: None,
        cold_requests_per_second: 0.0,
        prefill_ms_per_token: 1.0 / 45.9,
        event_interval_ms: 47.0,
        event_interval_ms_per_request: 0.6,
    }
}

/// Counts over all seeds, from the event on: requests that were late, refused and on time, and
/// the mean time until engine 0 answers as many on time as 7 in 10 of the mean of the others.
fn run(plan: &PacePlan) -> (usize, usize, usize, f64) {
    let (mut late, mut refused, mut on_time, mut share_ms) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let mut sim = PaceSim::new(plan.clone(), (0..8).map(target).collect(), seed);
        sim.run(END_MS);
        sim.firsts.retain(|(at, _, _)| *at >= EVENT_MS);
        let all = sim.firsts.len();
        sim.firsts.retain(|(_, engine, _)| engine.is_some());
        let begun = sim.firsts.len();
        sim.firsts.retain(|(_, _, took)| *took <= OBJECTIVE_MS);
        (refused, late) = (refused + all - begun, late + begun - sim.firsts.len());
        on_time += sim.firsts.len();
        let carries_share = |from: &u64| {
            let seen = |(at, _, _): &&(u64, _, _)| (*from..*from + 1_000).contains(at);
            let seen: Vec<_> = sim.firsts.iter().filter(seen).collect();
            let own = seen.iter().filter(|(_, engine, _)| *engine == Some(0));
            let own = own.count();
            10 * 7 * own >= 7 * (seen.len() - own)
        };
        let mut steps = (EVENT_MS..END_MS - 1_000).step_by(250);
        share_ms += steps.find(carries_share).unwrap_or(END_MS) - EVENT_MS;
    }
    let share_s = share_ms as f64 / SEEDS as f64 / 1_000.0;
    (late, refused, on_time, share_s)
}

fn rows(name: &str, plan: &PacePlan) -> String {
    let bounds = [("slots", false), ("pace", true)];
    let rows = bounds.map(|(bound, has_paces)| {
        let plan = plan.clone();
        let (late, refused, on_time, share_s) = run(&PacePlan { has_paces, ..plan });
        format!("{name:<13} {bound:<5} {share_s:>5.2} s {late:>5} late {refused:>5} refused {on_time:>5} on time")
    });
    rows.join("\n")
}

/// A target that starts is neither flooded nor idle for long: also with many routers that see few
/// answers each, with lost digests, and with peers that send no outcomes.
#[test]
fn starting_targets_carry_their_share_soon() {
    let warming = PacePlan {
        slowness: |at| {
            if (EVENT_MS..EVENT_MS + 2_000).contains(&at) {
                4.0
            } else {
                1.0
            }
        },
        ..NEW
    };
    let many = PacePlan { routers: 79, ..NEW };
    let lost = PacePlan {
        lost_digests: 0.5,
        ..NEW
    };
    let older = PacePlan {
        is_older: true,
        ..many.clone()
    };
    let recovered = PacePlan {
        excluded_until: EVENT_MS,
        ..PLAN
    };
    let table = [
        rows("new", &NEW),
        rows("new, warming", &warming),
        rows("79 routers", &many),
        rows("lost digests", &lost),
        rows("older peers", &older),
        rows("recovered", &recovered),
    ];
    assert_snapshot!(table.join("\n"));
}

/// A target that is 5 times slower than the others loses load; the paces of a pool that is late
/// as a whole stay where throughput does not fall.
#[test]
fn only_a_target_that_is_late_alone_is_cut_far() {
    let slow = PacePlan {
        slowness: |at| if at < EVENT_MS { 1.0 } else { 5.0 },
        ..PLAN
    };
    let healed = PacePlan {
        slowness: |at| if at < EVENT_MS { 5.0 } else { 1.0 },
        ..PLAN
    };
    let burst = PacePlan {
        rate: |at| {
            if (EVENT_MS..EVENT_MS + 5_000).contains(&at) {
                275.0
            } else {
                110.0
            }
        },
        ..PLAN
    };
    let wave = PacePlan {
        rate: |at| 140.0 * (0.45 + 1.1 * (at % 15_000).abs_diff(7_500) as f64 / 7_500.0),
        ..PLAN
    };
    let table = [
        rows("slow", &slow),
        rows("slow until", &healed),
        rows("burst", &burst),
        rows("wave", &wave),
    ];
    assert_snapshot!(table.join("\n"));
}

/// A router that starts, loses its own path to most of a pool, or hears of no answers must not
/// hold back targets that have room.
#[test]
fn paces_do_not_strand_capacity() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (service, model) = ("s".into(), None);
    let pool = PoolKey { service, model };
    let targets: Vec<_> = (0..8).map(target).collect();
    let loads = LoadTable::default();
    let mut table = PaceTable::default();
    let mut refresh = |count: usize, excluded: usize, ms| {
        let is_excluded = |target: &ServingTarget| targets[..excluded].contains(target);
        let pools = [(&pool, &targets[..count])].into_iter();
        let steps = table.refresh(pools, &loads, &is_excluded, at(ms));
        let bounds = targets[..count].iter().map(|target| table.bound(target));
        let bounds: Vec<_> = bounds.collect();
        format!("{ms:>5} ms: {} start, {bounds:?}", steps.len())
    };
    let table = [
        refresh(7, 0, 0),
        refresh(8, 0, 250),
        refresh(8, 5, 500),
        refresh(8, 0, 2_000),
        refresh(8, 1, 2_500),
        refresh(8, 1, 3_500),
        refresh(8, 0, 4_000),
        refresh(8, 0, 6_500),
        refresh(8, 0, 9_000),
        refresh(8, 0, 11_500),
    ];
    assert_snapshot!(table.join("\n"));
}
