//! Number of groups of each model in each domain.

use std::collections::BTreeMap;

use super::DomainRoom;
use super::ModelDemand;
use super::mix_change::MixChange;
use super::mix_search::MixSearch;
use super::mix_search::sorted_coverage;
use crate::ids::ZoneId;

/// Difference in the lowest coverage up to which a packing with fewer mixed domains is
/// preferred. Survivors of several groups of one model can form a new group together.
const COVERAGE_TOLERANCE: f64 = 0.05;
/// Largest number of improvement steps after the greedy placement.
const MAX_IMPROVEMENTS: usize = 32;
/// Largest number of mixes that are considered for one domain.
const MAX_MIXES: usize = 64;

/// Largest number of changes of which pairs are tried.
const MAX_PAIRED_CHANGES: usize = 200;

/// Planned number of groups by domain and model, in the order of the input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupPacking {
    counts: Vec<Vec<usize>>,
}

/// How the greedy placement chooses among domains with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementRule {
    /// Prefers domains without groups of other models.
    Separate,
    /// Prefers the domain that has the least room left.
    BestFit,
}

impl GroupPacking {
    /// Chooses the number of groups of each model in each domain.
    pub fn plan(rooms: &[DomainRoom], demands: &[ModelDemand]) -> Self {
        let separate = Self::place_greedily(rooms, demands, PlacementRule::Separate);
        let mut mixed = Self::place_greedily(rooms, demands, PlacementRule::BestFit);
        mixed.improve(rooms, demands);
        if mixed.is_clearly_better_than(&separate, demands) {
            mixed
        } else {
            separate
        }
    }

    /// Returns the planned number of groups of a model in a domain.
    pub fn count(&self, domain: usize, model: usize) -> usize {
        let counts = self.counts.get(domain);
        counts
            .and_then(|counts| counts.get(model))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the planned number of groups of a model in all domains.
    pub fn total(&self, model: usize) -> usize {
        self.counts.iter().map(|counts| counts[model]).sum()
    }

    /// Returns the capacity of the models relative to their shares, lowest first.
    pub fn sorted_coverage(&self, demands: &[ModelDemand]) -> Vec<f64> {
        let totals: Vec<usize> = (0..demands.len()).map(|model| self.total(model)).collect();
        sorted_coverage(&totals, demands)
    }

    /// Gives one group after the other to the model with the lowest coverage.
    fn place_greedily(rooms: &[DomainRoom], demands: &[ModelDemand], rule: PlacementRule) -> Self {
        let mut packing = Self {
            counts: vec![vec![0; demands.len()]; rooms.len()],
        };
        let mut totals = vec![0; demands.len()];
        let mut by_zone: BTreeMap<(&ZoneId, usize), usize> = BTreeMap::new();
        loop {
            let mut models: Vec<usize> = (0..demands.len()).collect();
            models.sort_by(|left, right| {
                let left_coverage = demands[*left].coverage(totals[*left]);
                left_coverage.total_cmp(&demands[*right].coverage(totals[*right]))
            });
            let placed = models.into_iter().find_map(|model| {
                let fitting = (0..rooms.len())
                    .filter(|domain| packing.fits(&rooms[*domain], *domain, model, demands));
                let best = fitting.min_by_key(|domain| {
                    let counts = &packing.counts[*domain];
                    let other_count: usize = counts.iter().sum::<usize>() - counts[model];
                    let used: usize = used_vms(counts, demands);
                    let zone_count = by_zone.get(&(&rooms[*domain].zone, model));
                    let zone_count = zone_count.copied().unwrap_or(0);
                    let room = rooms[*domain].vm_count - used;
                    match rule {
                        PlacementRule::Separate => {
                            (other_count, zone_count, usize::MAX - counts[model], room)
                        }
                        PlacementRule::BestFit => (room, zone_count, other_count, 0),
                    }
                });
                best.map(|domain| (domain, model))
            });
            let Some((domain, model)) = placed else {
                return packing;
            };
            packing.counts[domain][model] += 1;
            totals[model] += 1;
            *by_zone.entry((&rooms[domain].zone, model)).or_insert(0) += 1;
        }
    }

    /// Returns whether a domain has room for one more group and the spares of its groups.
    fn fits(
        &self,
        room: &DomainRoom,
        domain: usize,
        model: usize,
        demands: &[ModelDemand],
    ) -> bool {
        let mut counts = self.counts[domain].clone();
        counts[model] += 1;
        is_possible(&counts, room.vm_count, demands)
    }

    /// Replaces the mixes of one domain, or of two domains, while that raises the lowest
    /// coverage.
    fn improve(&mut self, rooms: &[DomainRoom], demands: &[ModelDemand]) {
        let mut mixes: BTreeMap<usize, Vec<Vec<usize>>> = BTreeMap::new();
        for room in rooms {
            mixes
                .entry(room.vm_count)
                .or_insert_with(|| possible_mixes(room.vm_count, demands));
        }
        for _ in 0..MAX_IMPROVEMENTS {
            let domains = self.distinct_domains(rooms);
            let totals: Vec<usize> = (0..demands.len()).map(|model| self.total(model)).collect();
            let mut search = MixSearch::new(&totals, demands);
            let mut changes: Vec<MixChange<'_>> = Vec::new();
            for domain in domains {
                for mix in &mixes[&rooms[domain].vm_count] {
                    let change = MixChange {
                        domain,
                        old: &self.counts[domain],
                        new: mix,
                    };
                    search.try_changes(&[&change]);
                    changes.push(change);
                }
            }
            if search.best.is_empty() && changes.len() <= MAX_PAIRED_CHANGES {
                for (index, first) in changes.iter().enumerate() {
                    for second in &changes[index + 1..] {
                        if first.domain != second.domain {
                            search.try_changes(&[first, second]);
                        }
                    }
                }
            }
            let best = search.best;
            if best.is_empty() {
                return;
            }
            for (domain, mix) in best {
                self.counts[domain] = mix;
            }
        }
    }

    /// Returns one or two domains of each size and mix; others would add nothing.
    fn distinct_domains(&self, rooms: &[DomainRoom]) -> Vec<usize> {
        let mut seen: BTreeMap<(usize, &Vec<usize>), usize> = BTreeMap::new();
        let mut domains = Vec::new();
        for (domain, room) in rooms.iter().enumerate() {
            let count = seen
                .entry((room.vm_count, &self.counts[domain]))
                .or_insert(0);
            *count += 1;
            if *count <= 2 {
                domains.push(domain);
            }
        }
        domains
    }

    fn is_clearly_better_than(&self, other: &Self, demands: &[ModelDemand]) -> bool {
        let own = self.sorted_coverage(demands);
        let others = other.sorted_coverage(demands);
        let pairs = own.into_iter().zip(others);
        for (own, other) in pairs {
            if own > other * (1.0 + COVERAGE_TOLERANCE) {
                return true;
            }
            if other > own * (1.0 + COVERAGE_TOLERANCE) {
                return false;
            }
        }
        false
    }
}

fn used_vms(counts: &[usize], demands: &[ModelDemand]) -> usize {
    let sizes = demands.iter().map(|demand| demand.vms_per_group);
    counts
        .iter()
        .zip(sizes)
        .map(|(count, size)| count * size)
        .sum()
}

/// Returns whether groups fit into a domain beside the spares that they need. The only
/// group of a domain does not need a spare, because it could not exist otherwise.
fn is_possible(counts: &[usize], vm_count: usize, demands: &[ModelDemand]) -> bool {
    let used = used_vms(counts, demands);
    let present = counts.iter().zip(demands).filter(|(count, _)| **count > 0);
    let spare_count = present
        .map(|(_, demand)| demand.spare_count())
        .max()
        .unwrap_or(0);
    let is_single = counts.iter().sum::<usize>() == 1;
    used + if is_single { 0 } else { spare_count } <= vm_count
}

/// Returns the mixes of groups that fill a domain, up to a limit.
fn possible_mixes(vm_count: usize, demands: &[ModelDemand]) -> Vec<Vec<usize>> {
    let mut mixes = vec![vec![0; demands.len()]];
    for (model, demand) in demands.iter().enumerate() {
        let mut extended = Vec::new();
        for mix in &mixes {
            for count in 0..=vm_count / demand.vms_per_group {
                let mut next = mix.clone();
                next[model] = count;
                if is_possible(&next, vm_count, demands) {
                    extended.push(next);
                }
            }
        }
        mixes = extended;
    }
    mixes.retain(|mix| {
        let is_full = |model: usize| {
            let mut next = mix.clone();
            next[model] += 1;
            !is_possible(&next, vm_count, demands)
        };
        (0..demands.len()).all(is_full)
    });
    mixes.truncate(MAX_MIXES);
    mixes
}
