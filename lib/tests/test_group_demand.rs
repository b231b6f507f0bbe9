//! Simulations of demand that moves between models, with groups that follow it.
//!
//! Six domains of 37 VMs hold groups of 16 and of 4 VMs, 17 slots each, as in the contended
//! fleet of `docs/design/hard-load.md`.

mod testutils;

use testutils::replica_sim::ReplicaSim;
use testutils::replica_sim::SimPlan;
use testutils::replica_sim::model;

/// Number of histories of each pattern; the losses among VMs are drawn by the seed.
const SEEDS: u64 = 3;
/// Time before traffic starts; the same as on the users' platform.
const WARMUP_MS: u64 = 10_000;
/// Period of a wave of traffic.
const WAVE_MS: u64 = 15_000;
/// Step in which a test changes the demand.
const STEP_MS: u64 = 200;
/// Time in which the first group is converted: the shortage lasts for 6 s, sixteen members load
/// in three batches, of which one may wait for a load, closing, joining and opening follow.
const CONVERSION_MS: u64 = 6_000 + 4 * 12_000 + 6_000;

/// Use of the slots of both models after the warm-up, as fractions.
fn warmed_up(big: f64, small: f64, seed: u64) -> ReplicaSim {
    let mut sim = ReplicaSim::new(
        SimPlan {
            vms_per_domain: 37,
            models: vec![
                model("big", 16, 0.5, 16_000, 1_600),
                model("small", 4, 0.5, 12_000, 1_100),
            ],
            needed: vec![6.0, 26.0],
            ..SimPlan::default()
        },
        seed,
    );
    sim.wanted = Some(vec![0, 0]);
    sim.run(WARMUP_MS);
    sim.has_traffic = true;
    set_use(&mut sim, big, small);
    sim.run(20_000);
    sim
}

/// Sets the demand as fractions of the slots that six big and 25 small groups have.
fn set_use(sim: &mut ReplicaSim, big: f64, small: f64) {
    let slots = |groups: f64, used: f64| (groups * 17.0 * used) as u32;
    sim.wanted = Some(vec![slots(6.0, big), slots(25.0, small)]);
}

/// Runs a wave around the given uses, with an amplitude for each model.
fn run_wave(sim: &mut ReplicaSim, means: (f64, f64), swings: (f64, f64), span_ms: u64) {
    for step in 0..span_ms / STEP_MS {
        let turn = (step * STEP_MS) as f64 / WAVE_MS as f64 * std::f64::consts::TAU;
        let big = means.0 * (1.0 + swings.0 * turn.sin());
        let small = means.1 * (1.0 + swings.1 * turn.sin());
        set_use(sim, big, small);
        sim.run(STEP_MS);
    }
}

fn count(sim: &ReplicaSim, word: &str) -> usize {
    let lines = sim.conversion_log.iter();
    lines.filter(|line| line.contains(word)).count()
}

fn serving(sim: &ReplicaSim) -> (usize, usize) {
    let serving = sim.serving();
    (serving["big"], serving["small"])
}

/// Checks that nothing has been converted and no model was short.
fn expect_no_conversion(sim: &ReplicaSim, before: (usize, usize), seed: u64) {
    assert_eq!(sim.conversion_log, Vec::<String>::new(), "seed {seed}");
    assert_eq!(serving(sim), before, "seed {seed}");
    assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
}

/// Pattern: a wave of 15 s that all models share. Weights must not move with it.
#[test]
fn common_wave_converts_nothing() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.35, 0.6, seed);
        let before = serving(&sim);
        run_wave(&mut sim, (0.35, 0.6), (0.55, 0.55), 60_000);
        expect_no_conversion(&sim, before, seed);
    }
}

/// Pattern: a wave of 15 s on one model whose crest alone looks like a shortage for 6.5 s.
#[test]
fn wave_of_one_model_converts_nothing() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.15, 0.45, seed);
        let before = serving(&sim);
        run_wave(&mut sim, (0.15, 0.45), (0.0, 0.55), 60_000);
        expect_no_conversion(&sim, before, seed);
    }
}

/// Pattern: bursts of 1.5 times for 4 s on the routes of one model.
#[test]
fn short_bursts_convert_nothing() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.48, seed);
        let before = serving(&sim);
        for _ in 0..4 {
            set_use(&mut sim, 0.2, 0.72);
            sim.run(4_000);
            set_use(&mut sim, 0.2, 0.48);
            sim.run(8_000);
        }
        expect_no_conversion(&sim, before, seed);
    }
}

/// Pattern: demand moves to one model for good. Its capacity grows by four groups a time, the
/// other model keeps room, and nothing is moved back over 120 s.
#[test]
fn lasting_shift_converts_groups_once() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        let (big, small) = serving(&sim);
        set_use(&mut sim, 0.2, 1.2);
        sim.run(5_000);
        assert_eq!(count(&sim, "started"), 0, "seed {seed}: too early");
        sim.run(CONVERSION_MS - 5_000);
        let (big_after, small_after) = serving(&sim);
        assert_eq!(big_after, big - 1, "seed {seed}: {:?}", sim.conversion_log);
        assert!(small_after >= small + 4, "seed {seed}: {small_after}");
        sim.run(120_000);
        // Twice the use of 0.2 of six groups needs three.
        let (big_end, small_end) = serving(&sim);
        assert!(big_end >= 3, "seed {seed}: {big_end}");
        assert!(small_end >= small_after, "seed {seed}: {small_end}");
        assert_eq!(count(&sim, "small to big"), 0, "seed {seed}");
        assert_eq!(count(&sim, "failed"), 0, "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        // Back at the former level, the plan stays as it is.
        let steps = sim.conversion_log.len();
        set_use(&mut sim, 0.2, 0.4);
        sim.run(60_000);
        assert_eq!(serving(&sim), (big_end, small_end), "seed {seed}");
        assert_eq!(sim.conversion_log.len(), steps, "seed {seed}");
    }
}

/// Pattern: demand moves back while the members still load. The group stays as it is.
#[test]
fn conversion_is_cancelled_when_demand_falls() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        let before = serving(&sim);
        set_use(&mut sim, 0.2, 0.8);
        sim.run(9_000);
        assert_eq!(count(&sim, "started"), 1, "seed {seed}");
        set_use(&mut sim, 0.2, 0.3);
        sim.run(CONVERSION_MS);
        assert_eq!(count(&sim, "cancelled"), 1, "seed {seed}");
        assert_eq!(serving(&sim), before, "seed {seed}");
    }
}

/// Pattern: a tenth of the VMs is lost after a conversion and while a model is short. Lost
/// members are replaced in the new plan, and no model is left without a group.
#[test]
fn losses_are_repaired_in_the_new_plan() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        set_use(&mut sim, 0.2, 0.9);
        sim.run(CONVERSION_MS);
        let (_, small) = serving(&sim);
        for _ in 0..11 {
            sim.kill_joined(2);
            sim.run(3_000);
            let (big, _) = serving(&sim);
            assert!(big >= 1, "seed {seed}: {:?}", sim.conversion_log);
        }
        sim.run(60_000);
        let (big, small_after) = serving(&sim);
        assert!(big >= 2, "seed {seed}: {big} big groups");
        assert!(
            small_after + 2 >= small,
            "seed {seed}: {small_after} of {small}"
        );
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Pattern: another router takes the placer's lock while members load, and again after the
/// conversion. It measures anew and does not undo what its predecessor did.
#[test]
fn new_placer_continues_without_undoing() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        let (big, _) = serving(&sim);
        set_use(&mut sim, 0.2, 0.9);
        sim.run(20_000);
        sim.take_over();
        sim.run(5_000);
        assert_eq!(
            count(&sim, "started"),
            1,
            "seed {seed}: measured too briefly"
        );
        sim.run(CONVERSION_MS);
        let (big_after, small_after) = serving(&sim);
        assert!(big_after < big, "seed {seed}: {:?}", sim.conversion_log);
        set_use(&mut sim, 0.2, 0.5);
        sim.take_over();
        sim.run(60_000);
        assert_eq!(serving(&sim), (big_after, small_after), "seed {seed}");
        // A group that the predecessor's conversion added is repaired by a spare that loads.
        let vms = sim.vms.iter();
        let joined = vms.filter_map(|(id, vm)| Some((vm.group()?.0.epoch, id.clone())));
        let (_, newest) = joined.max().expect("a VM in a group");
        sim.kill(&newest);
        sim.run(25_000);
        assert_eq!(serving(&sim), (big_after, small_after), "seed {seed}: loss");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Pattern: half of the digests are missing. The measured use is too low to move anything.
#[test]
fn missing_digests_convert_nothing() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        let before = serving(&sim);
        sim.heard_share = 0.5;
        set_use(&mut sim, 0.2, 0.95);
        sim.run(60_000);
        expect_no_conversion(&sim, before, seed);
    }
}

/// Pattern: the store is away while demand moves. No orders are given, and afterwards the
/// shortage must hold for 6 s again.
#[test]
fn unavailable_store_stops_conversions() {
    for seed in 0..SEEDS {
        let mut sim = warmed_up(0.2, 0.4, seed);
        set_use(&mut sim, 0.2, 0.9);
        sim.run(4_000);
        sim.is_store_away = true;
        let orders = sim.orders_sent;
        sim.run(20_000);
        assert_eq!(sim.orders_sent, orders, "seed {seed}");
        sim.is_store_away = false;
        sim.run(5_000);
        assert_eq!(sim.conversion_log, Vec::<String>::new(), "seed {seed}");
        sim.run(CONVERSION_MS);
        assert!(count(&sim, "formed") > 0, "seed {seed}");
    }
}
