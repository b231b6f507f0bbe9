//! Chooses which VMs load which weights, and in which order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::super::EndpointRecord;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::ReplicaPlanner;
use super::ServicePool;
use super::WeightLoad;
use super::partition_by_domain;
use crate::serving::EngineProfile;
use crate::serving::ModelProfile;

/// Multiple of its nominal time after which a load counts as failed.
const LOAD_TIMEOUT_FACTOR: u64 = 4;

impl ReplicaPlanner {
    /// Chooses models for VMs without weights and orders the loads. The model with the
    /// least serving capacity relative to its share comes first, then the domain in which
    /// the next group needs the fewest members.
    pub(super) fn stage_weights(
        &mut self,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut load_candidates = Vec::new();
        for (domain, records) in partition_by_domain(&pool.free) {
            for record in records.iter().copied() {
                if !record.staged.is_empty() || self.loading.contains_key(&record.id) {
                    continue;
                }
                let Some(profile) = self.choose_model(&domain, record, pool.engine, input) else {
                    continue;
                };
                let missing = self.missing_member_count(&records, profile);
                let coverage = serving_coverage(input, profile);
                load_candidates.push((missing, coverage, record, profile));
                if !input.has_traffic {
                    // Loads are not limited yet, and each choice affects the next ones.
                    self.begin_load(record, profile, input, orders);
                }
            }
        }
        if !input.has_traffic {
            return;
        }
        load_candidates.sort_by(|left, right| {
            let by_missing = left.0.cmp(&right.0);
            left.1.total_cmp(&right.1).then(by_missing)
        });
        let limit = pool.engine.parallel_loads.max(1);
        for (_, _, record, profile) in load_candidates {
            if self.loading.len() >= limit {
                return;
            }
            self.begin_load(record, profile, input, orders);
        }
    }

    /// Returns how many members the next group of a model still needs in a domain.
    fn missing_member_count(&self, free: &[&EndpointRecord], profile: &ModelProfile) -> usize {
        let has_or_loads = |record: &&&EndpointRecord| {
            let loading = self.loading.get(&record.id);
            record.has_staged(&profile.model)
                || loading.is_some_and(|loading| loading.model == profile.model)
        };
        let member_count = free.iter().filter(has_or_loads).count();
        profile.vms_per_group - member_count % profile.vms_per_group
    }

    fn begin_load(
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
        if self.push(&record.id, order, "the host has no weights", input, orders) {
            self.loading.insert(record.id.clone(), loading);
        }
    }

    /// Chooses the model of a VM without weights: the most frequent one of its domain, so
    /// that the remaining members of dissolved groups can form new ones. In a domain without
    /// weights, it is the model in the fewest domains relative to its share, compared within
    /// the zone first and over all zones second.
    fn choose_model<'a>(
        &self,
        domain: &str,
        record: &EndpointRecord,
        engine: &'a EngineProfile,
        input: &PlannerInput<'_>,
    ) -> Option<&'a ModelProfile> {
        let mut in_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let mut domains: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        let mut zone_domains: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for other in input.table.iter() {
            if other.service != record.service {
                continue;
            }
            let loading = self.loading.get(&other.id).map(|loading| &loading.model);
            let Some(model) = loading.or(other.staged.first()) else {
                continue;
            };
            domains.entry(model).or_default().insert(&other.domain);
            if other.domain == domain {
                *in_domain.entry(model).or_default() += 1;
            }
            if other.zone == record.zone {
                zone_domains.entry(model).or_default().insert(&other.domain);
            }
        }
        let domain_coverage = |counts: &BTreeMap<&str, BTreeSet<&str>>, profile: &ModelProfile| {
            let count = counts.get(profile.model.as_str()).map_or(0, BTreeSet::len);
            count as f64 / profile.share.max(0.01)
        };
        let domain_model = engine
            .models
            .iter()
            .max_by_key(|profile| in_domain.get(profile.model.as_str()).copied().unwrap_or(0))?;
        if in_domain.contains_key(domain_model.model.as_str()) {
            return Some(domain_model);
        }
        engine.models.iter().min_by(|left, right| {
            let by_zone = domain_coverage(&zone_domains, left)
                .total_cmp(&domain_coverage(&zone_domains, right));
            by_zone
                .then(domain_coverage(&domains, left).total_cmp(&domain_coverage(&domains, right)))
        })
    }
}

/// Returns the number of VMs in serving groups of a model, divided by its share.
fn serving_coverage(input: &PlannerInput<'_>, profile: &ModelProfile) -> f64 {
    let groups = input.groups.groups.values();
    let serving = groups.filter(|group| group.model == profile.model && group.is_serving());
    let members = serving.count() * profile.vms_per_group;
    members as f64 / profile.share.max(0.01)
}
