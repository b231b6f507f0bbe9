//! Chooses which VMs load which weights, and in which order.

use std::time::Duration;

use super::super::EndpointRecord;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::FleetLayout;
use super::ReplicaPlanner;
use super::ServicePool;
use super::WeightLoad;
use super::partition_by_domain;
use crate::ids::ServiceId;
use crate::serving::ModelProfile;

/// Multiple of its nominal time after which a load counts as failed.
const LOAD_TIMEOUT_FACTOR: u64 = 4;
/// Time that a VM with weights must be free before it loads those of another model. The
/// other members of its next group may be about to leave theirs.
const MIN_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// A VM with weights loads those of another model only if that one has less than this share
/// of the capacity of its own, relative to their shares of the work.
const MAX_COVERAGE_RATIO: f64 = 0.75;

/// Added to the urgency of models that have their planned number of groups.
const SUFFICIENT_RANK: f64 = 100.0;

/// A load that would bring a model closer to its next group.
struct LoadCandidate<'a> {
    /// Capacity of the model relative to its share, and missing members relative to the
    /// group size; the lowest product comes first.
    urgency: f64,
    record: &'a EndpointRecord,
    profile: &'a ModelProfile,
}

impl ReplicaPlanner {
    /// Orders the loads of weights for the groups that are planned next.
    pub(super) fn stage_weights(
        &mut self,
        service: &ServiceId,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(layout) = self.layouts.remove(service) else {
            return;
        };
        if !input.has_traffic {
            if layout.is_settled(input) {
                self.stage_spares(&layout, pool, input, orders);
            }
        } else {
            let mut candidates = self.load_candidates(&layout, pool, input);
            candidates.sort_by(|left, right| left.urgency.total_cmp(&right.urgency));
            let limit = pool.engine.parallel_loads.max(1);
            for candidate in candidates {
                if self.loading.len() >= limit {
                    break;
                }
                self.begin_load(candidate.record, candidate.profile, input, orders);
            }
        }
        self.layouts.insert(service.clone(), layout);
    }

    /// Loads the weights of spare VMs before traffic: those of the largest planned groups
    /// first, and once they have that model loaded, those of another model of the domain.
    fn stage_spares(
        &mut self,
        layout: &FleetLayout,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        for (domain, records) in partition_by_domain(&pool.free) {
            let mut planned: Vec<&ModelProfile> = pool.engine.models.iter().collect();
            planned.retain(|profile| layout.planned_in(&profile.model, &domain) > 0);
            planned.sort_by_key(|profile| usize::MAX - profile.vms_per_group);
            let Some(profile) = planned.first() else {
                continue;
            };
            for (index, record) in records.into_iter().enumerate() {
                if self.loading.contains_key(&record.id) {
                    continue;
                }
                if record.staged.is_empty() {
                    self.begin_load(record, profile, input, orders);
                } else if let Some(other) = self.second_model(record, &planned, index) {
                    self.begin_load(record, other, input, orders);
                }
            }
        }
    }

    /// Returns the model whose weights the host of a spare VM is to store beside the model
    /// that the spare has loaded, so that it can replace a member of either model's groups.
    fn second_model<'a>(
        &self,
        record: &EndpointRecord,
        planned: &[&'a ModelProfile],
        index: usize,
    ) -> Option<&'a ModelProfile> {
        let loaded = self.loaded_model(record)?;
        let others: Vec<&ModelProfile> = planned
            .iter()
            .copied()
            .filter(|profile| profile.model != *loaded)
            .collect();
        if others
            .iter()
            .any(|profile| record.has_staged(&profile.model))
        {
            return None;
        }
        others.get(index % others.len().max(1)).copied()
    }

    /// Returns the loads of free VMs that are useful while loads are limited: VMs without
    /// weights load those of some model, idle VMs with weights only for a group that their
    /// domain has enough free VMs for.
    fn load_candidates<'a>(
        &self,
        layout: &FleetLayout,
        pool: &ServicePool<'a>,
        input: &PlannerInput<'_>,
    ) -> Vec<LoadCandidate<'a>> {
        let mut candidates = Vec::new();
        let profiles = pool.engine.models.iter();
        let coverage_sum: f64 = profiles.map(|profile| layout.coverage(profile)).sum();
        for (domain, records) in partition_by_domain(&pool.free) {
            let useful = pool.engine.models.iter().filter(|profile| {
                let is_planned = layout.planned_in(&profile.model, &domain) > 0;
                is_planned || records.len() >= profile.vms_per_group
            });
            let best = useful.map(|profile| {
                let missing = self.missing_member_count(&records, profile, input);
                let missing_share = missing as f64 / profile.vms_per_group.max(1) as f64;
                // Without any group, the model is as urgent as possible.
                let coverage = layout.coverage(profile) / coverage_sum.max(1.0) + 0.01;
                let is_short = layout.group_count(&profile.model) < layout.planned(&profile.model);
                let rank = if is_short { 0.0 } else { SUFFICIENT_RANK };
                (rank + missing_share * coverage, missing, profile)
            });
            let Some((urgency, missing, profile)) =
                best.min_by(|left, right| left.0.total_cmp(&right.0))
            else {
                continue;
            };
            let is_short = layout.group_count(&profile.model) < layout.planned(&profile.model);
            let has_enough = is_short && records.len() >= profile.vms_per_group;
            let mut idle_count = missing;
            for record in records {
                let is_loading = self.loading.contains_key(&record.id);
                if is_loading || self.can_join(record, &profile.model, input) {
                    continue;
                }
                let is_empty = record.staged.is_empty();
                let is_idle = self.is_free_for(record, MIN_IDLE_TIME, input);
                let may_change = has_enough
                    && is_idle
                    && idle_count > 0
                    && self.is_better_covered(layout, record, profile, pool);
                if !is_empty && !may_change {
                    continue;
                }
                idle_count = idle_count.saturating_sub(1);
                candidates.push(LoadCandidate {
                    urgency,
                    record,
                    profile,
                });
            }
        }
        candidates
    }

    /// Returns whether the model that a VM could join a group of has so much more capacity
    /// than `profile` that the VM is better used for the latter.
    fn is_better_covered(
        &self,
        layout: &FleetLayout,
        record: &EndpointRecord,
        profile: &ModelProfile,
        pool: &ServicePool<'_>,
    ) -> bool {
        if layout.moves.in_domain(&profile.model, &record.domain) > 0 {
            // The spares of a domain that has gained groups of the model hold other weights.
            return true;
        }
        let own = self.loaded_model(record).or(record.staged.first());
        let mut profiles = pool.engine.models.iter();
        let own = profiles.find(|known| Some(&known.model) == own);
        own.is_none_or(|own| layout.coverage(profile) < MAX_COVERAGE_RATIO * layout.coverage(own))
    }

    /// Returns how many members the next group of a model still needs in a domain.
    fn missing_member_count(
        &self,
        free: &[&EndpointRecord],
        profile: &ModelProfile,
        input: &PlannerInput<'_>,
    ) -> usize {
        let is_member = |record: &&&EndpointRecord| {
            let loading = self.loading.get(&record.id);
            self.can_join(record, &profile.model, input)
                || loading.is_some_and(|loading| loading.model == profile.model)
        };
        let size = profile.vms_per_group.max(1);
        size - free.iter().filter(is_member).count() % size
    }

    /// Orders a VM to load the weights of a model from the weight store.
    pub(super) fn begin_load(
        &mut self,
        record: &EndpointRecord,
        profile: &ModelProfile,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let timeout = Duration::from_millis(profile.load_ms * LOAD_TIMEOUT_FACTOR);
        let loading = WeightLoad {
            model: profile.model.clone(),
            times_out_at: input.now + timeout,
        };
        let order = ReplicaOrder::Stage {
            model: profile.model.clone(),
        };
        // If such an order is still in flight, no new load is counted.
        if self.push(
            &record.id,
            order,
            "the host lacks the weights",
            input,
            orders,
        ) {
            self.loading.insert(record.id.clone(), loading);
        }
    }
}
