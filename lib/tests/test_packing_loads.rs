//! Load patterns of fleets whose models share the VMs of fabric domains.
//!
//! Each test names the pattern it stands for. Bounds come from the best packing of the VMs
//! that are left, worked out by hand.

mod testutils;

use std::collections::BTreeMap;

use jujuberoad::serving::ModelProfile;
use testutils::replica_sim::ReplicaSim;
use testutils::replica_sim::SimPlan;
use testutils::replica_sim::model;

/// Time before traffic starts; the same as on the users' platform.
const WARMUP_MS: u64 = 10_000;
/// Time in which a repair from survivors and spares ends: detection 0.25 s, a join with
/// weights on the host 1.6 s, opening 0.3 s, and the lag of registry and reports.
const REPAIR_MS: u64 = 4_000;
/// Time in which VMs of one model come to serve another: the gap must last for 2.5 s, a load
/// takes up to 16 s, and the repair follows.
const CONVERSION_MS: u64 = 2_500 + 16_000 + REPAIR_MS;

/// Models of six and three VMs in domains of eleven.
fn uneven_plan() -> SimPlan {
    SimPlan {
        vms_per_domain: 11,
        models: vec![shared_model("wide", 6, 0.67), shared_model("slim", 3, 0.33)],
        needed: vec![4.0, 4.0],
        ..SimPlan::default()
    }
}

fn shared_model(name: &str, vms_per_group: usize, share: f64) -> ModelProfile {
    let (load_ms, local_load_ms) = if name == "wide" {
        (16_000, 1_600)
    } else {
        (12_000, 1_100)
    };
    model(name, vms_per_group, share, load_ms, local_load_ms)
}

fn warmed_up(plan: SimPlan, seed: u64) -> ReplicaSim {
    let mut sim = ReplicaSim::new(plan, seed);
    sim.run(WARMUP_MS);
    sim.has_traffic = true;
    sim
}

fn expect(sim: &ReplicaSim, least: &[(&str, usize)], seed: u64) {
    let serving: BTreeMap<String, usize> = sim.serving();
    for (model, count) in least {
        assert!(
            serving[*model] >= *count,
            "seed {seed}: {model} in {serving:?}"
        );
    }
    assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
}

/// Pattern: all hosts are empty at the start, and one wide and one slim group fit into each
/// domain, but no second wide one.
#[test]
fn wide_model_is_not_short_while_slim_one_has_room() {
    for seed in 0..10 {
        let sim = warmed_up(uneven_plan(), seed);
        expect(&sim, &[("wide", 6), ("slim", 6)], seed);
    }
}

/// Pattern: one VM of a domain is lost. The domain has two spares.
#[test]
fn loss_of_one_vm_costs_no_group() {
    for seed in 0..10 {
        let mut sim = warmed_up(uneven_plan(), seed);
        sim.kill_joined(1);
        sim.run(REPAIR_MS);
        expect(&sim, &[("wide", 6), ("slim", 6)], seed);
    }
}

/// Pattern: a domain loses power as a whole and comes back.
#[test]
fn lost_domain_comes_back_with_its_groups() {
    for seed in 0..10 {
        let mut sim = warmed_up(uneven_plan(), seed);
        let lost = sim.alive_in("z0d0");
        lost.iter().for_each(|id| sim.kill(id));
        sim.run(8_000);
        expect(&sim, &[("wide", 5), ("slim", 5)], seed);
        lost.iter().for_each(|id| sim.revive(id));
        sim.run(REPAIR_MS);
        expect(&sim, &[("wide", 6), ("slim", 6)], seed);
    }
}

/// Pattern: a model loses all its groups while another one serves with everything that is
/// left. Its callers must not be refused for the rest of the day.
#[test]
fn model_without_groups_gets_vms_of_another_one() {
    for seed in 0..10 {
        let mut sim = warmed_up(SimPlan::default(), seed);
        let slim = sim.alive_with("slim");
        slim.iter().for_each(|id| sim.kill(id));
        sim.run(CONVERSION_MS);
        expect(&sim, &[("wide", 3), ("slim", 1)], seed);
    }
}

/// Pattern: empty VMs are added one at a time, as many as were lost before.
#[test]
fn added_vms_replace_lost_ones() {
    for seed in 0..10 {
        let mut sim = warmed_up(uneven_plan(), seed);
        let lost: Vec<_> = sim.alive_in("z0d0").into_iter().take(6).collect();
        lost.iter().for_each(|id| sim.kill(id));
        for _ in 0..6 {
            sim.add_vm(0, 0);
            sim.run(1_000);
        }
        sim.run(2 * 16_000 + REPAIR_MS);
        expect(&sim, &[("wide", 6), ("slim", 6)], seed);
    }
}

/// Pattern: half of the VMs of each domain are gone. Five are left in each, which hold one
/// slim group; a wide one fits nowhere.
#[test]
fn half_domains_serve_what_fits() {
    for seed in 0..10 {
        let mut sim = warmed_up(uneven_plan(), seed);
        for domain in ["z0d0", "z0d1", "z1d0", "z1d1", "z2d0", "z2d1"] {
            for id in sim.alive_in(domain).into_iter().take(6) {
                sim.kill(&id);
            }
        }
        // Survivors of wide groups load the weights of the slim model first.
        sim.run(4 * 12_000 + REPAIR_MS);
        expect(&sim, &[("slim", 6)], seed);
    }
}

/// Pattern: the groups of one model are larger than every domain. The other one is served, and
/// the planner names the model.
#[test]
fn oversized_model_leaves_the_vms_to_the_other_one() {
    let plan = SimPlan {
        models: vec![shared_model("wide", 12, 0.5), shared_model("slim", 2, 0.5)],
        needed: vec![1.0, 15.0],
        ..SimPlan::default()
    };
    let sim = warmed_up(plan, 1);
    expect(&sim, &[("wide", 0), ("slim", 30)], 1);
    assert_eq!(sim.models_without_room(), ["wide"]);
}

/// Pattern: nothing happens. A fleet whose sizes leave VMs over must not flap.
#[test]
fn stable_fleet_of_uneven_sizes_gets_no_orders() {
    let mut sim = warmed_up(uneven_plan(), 3);
    sim.run(WARMUP_MS);
    let before = sim.orders_sent;
    sim.run(3 * WARMUP_MS);
    assert_eq!(sim.orders_sent - before, 0);
}

/// Pattern: VMs are lost at the rate of the users' days, two every three seconds, and as
/// many empty ones are added. Groups of both models keep serving most of their need.
#[test]
fn steady_losses_leave_most_of_the_capacity() {
    let mut sums = [0.0; 2];
    let seeds = 20;
    for seed in 0..seeds {
        let mut sim = warmed_up(uneven_plan(), seed);
        for second in 0..34 {
            if second % 3 == 2 {
                sim.kill_joined(2);
            }
            if second % 3 == 0 && second >= 12 {
                for _ in 0..2 {
                    let zone = sim.rng.usize(0..3);
                    let domain = sim.rng.usize(0..2);
                    sim.add_vm(zone, domain);
                }
            }
            sim.run(1_000);
        }
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        for (sum, share) in sums.iter_mut().zip(sim.shares()) {
            *sum += share / seeds as f64;
        }
    }
    println!(
        "served share of need: wide {:.3} slim {:.3}",
        sums[0], sums[1]
    );
    // Of 66 VMs, 22 are lost over the day; the rest can hold four groups of each model in
    // any but the last seconds.
    assert!(sums[0] >= 0.8 && sums[1] >= 0.8, "{sums:?}");
}
