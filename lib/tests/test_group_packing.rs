//! Packing of groups into fabric domains, compared with the best packing.

use fastrand::Rng;
use insta::assert_snapshot;
use jujuberoad::fleet::DomainRoom;
use jujuberoad::fleet::GroupPacking;
use jujuberoad::fleet::ModelDemand;

/// Share of the best possible lowest coverage that a packing must reach. The search places
/// one group at a time and does not try all combinations.
const MIN_SHARE_OF_BEST: f64 = 0.75;

/// VMs of each domain, and size and share of each model.
type Layout<'a> = (&'a [usize], &'a [(usize, f64)]);

fn rooms(vm_counts: &[usize]) -> Vec<DomainRoom> {
    let rooms = vm_counts.iter().enumerate();
    rooms
        .map(|(index, vm_count)| DomainRoom {
            domain: format!("d{index}").into(),
            zone: format!("z{}", index / 2).into(),
            vm_count: *vm_count,
        })
        .collect()
}

fn demands(models: &[(usize, f64)]) -> Vec<ModelDemand> {
    let models = models.iter();
    models
        .map(|(vms_per_group, share)| ModelDemand {
            vms_per_group: *vms_per_group,
            share: *share,
        })
        .collect()
}

fn totals(vm_counts: &[usize], models: &[(usize, f64)]) -> Vec<usize> {
    let packing = GroupPacking::plan(&rooms(vm_counts), &demands(models));
    (0..models.len())
        .map(|model| packing.total(model))
        .collect()
}

/// Lowest coverage of the best packing, by trying all mixes of all domains.
fn best_lowest_coverage(vm_counts: &[usize], demands: &[ModelDemand]) -> f64 {
    fn search(vm_counts: &[usize], demands: &[ModelDemand], totals: &mut [usize]) -> f64 {
        let Some((vm_count, rest)) = vm_counts.split_first() else {
            let pairs = totals.iter().zip(demands);
            return pairs
                .map(|(count, demand)| demand.coverage(*count))
                .fold(f64::INFINITY, f64::min);
        };
        let mut best: f64 = 0.0;
        let (wide, slim) = (demands[0].vms_per_group, demands[1].vms_per_group);
        for wide_count in 0..=vm_count / wide {
            let left = vm_count - wide_count * wide;
            let spare = if wide_count > 0 {
                demands[0].spare_count()
            } else {
                demands[1].spare_count()
            };
            let slim_count = left.saturating_sub(spare) / slim;
            if wide_count > 1 && left < spare {
                continue;
            }
            totals[0] += wide_count;
            totals[1] += slim_count;
            best = best.max(search(rest, demands, totals));
            totals[0] -= wide_count;
            totals[1] -= slim_count;
        }
        best
    }
    search(vm_counts, demands, &mut vec![0; demands.len()])
}

/// Pattern: the wide model is short while the narrow one has room. A domain of eleven holds
/// one group of six and one of three; either size alone strands VMs.
#[test]
fn sizes_that_do_not_fill_a_domain_share_it() {
    let found = totals(&[11; 6], &[(6, 0.67), (3, 0.33)]);
    assert_snapshot!(format!("{found:?}"), @"[6, 6]");
}

/// Pattern: either model fills its domains, so that mixing gains nothing and survivors of
/// one model are best kept together.
#[test]
fn sizes_that_fill_a_domain_stay_apart() {
    let packing = GroupPacking::plan(&rooms(&[10; 6]), &demands(&[(4, 0.5), (2, 0.5)]));
    let mixed =
        (0..6).filter(|domain| packing.count(*domain, 0) > 0 && packing.count(*domain, 1) > 0);
    assert_eq!(mixed.count(), 0);
    assert_snapshot!(format!("{:?}", [packing.total(0), packing.total(1)]), @"[6, 15]");
}

/// Pattern: domains of other layouts: one model, five models, unequal domains, half of a
/// domain gone, a size larger than every domain.
#[test]
fn unusual_layouts_are_packed() {
    let cases: [Layout<'_>; 6] = [
        (&[10, 10, 7], &[(4, 1.0)]),
        (&[27; 6], &[(12, 0.5), (6, 0.5)]),
        (&[19; 40], &[(8, 0.5), (4, 0.5)]),
        (
            &[12; 5],
            &[(1, 0.2), (2, 0.2), (3, 0.2), (4, 0.2), (6, 0.2)],
        ),
        (&[5, 11, 3, 18], &[(6, 0.5), (3, 0.5)]),
        (&[4, 4, 4], &[(6, 0.5), (2, 0.5)]),
    ];
    let lines: Vec<String> = cases
        .iter()
        .map(|(vm_counts, models)| format!("{:?}", totals(vm_counts, models)))
        .collect();
    assert_snapshot!(lines.join("\n"));
}

/// The lowest coverage stays close to that of the best packing for any sizes.
#[test]
fn packing_is_close_to_the_best_one() {
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let vm_counts: Vec<usize> = (0..rng.usize(1..6)).map(|_| rng.usize(2..22)).collect();
        let wide = rng.usize(2..9);
        let slim = rng.usize(1..=wide);
        let share = rng.f64().clamp(0.2, 0.8);
        let models = [(wide, share), (slim, 1.0 - share)];
        let demands = demands(&models);
        let packing = GroupPacking::plan(&rooms(&vm_counts), &demands);
        let found = packing.sorted_coverage(&demands)[0];
        let best = best_lowest_coverage(&vm_counts, &demands);
        assert!(
            found >= MIN_SHARE_OF_BEST * best,
            "seed {seed}: {found:.1} of {best:.1} with {vm_counts:?} and {models:?}"
        );
    }
}

/// No domain gets more groups than fit into it.
#[test]
fn groups_fit_into_their_domains() {
    for seed in 0..400 {
        let mut rng = Rng::with_seed(seed);
        let vm_counts: Vec<usize> = (0..rng.usize(1..20)).map(|_| rng.usize(0..30)).collect();
        let models: Vec<(usize, f64)> = (0..rng.usize(1..6))
            .map(|_| (rng.usize(1..13), rng.f64()))
            .collect();
        let packing = GroupPacking::plan(&rooms(&vm_counts), &demands(&models));
        for (domain, vm_count) in vm_counts.iter().enumerate() {
            let used: usize = (0..models.len())
                .map(|model| packing.count(domain, model) * models[model].0)
                .sum();
            assert!(used <= *vm_count, "seed {seed}: {used} of {vm_count}");
        }
    }
}
