//! Forms new groups from free VMs of one fabric domain.

use std::collections::BTreeSet;

use super::super::EndpointRecord;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::PendingGroup;
use super::ReplicaPlanner;
use super::ServicePool;
use super::partition_by_domain;
use crate::ids::EndpointId;
use crate::serving::ModelProfile;

impl ReplicaPlanner {
    /// Forms groups from free VMs of one domain that store the same model.
    pub(super) fn form_groups(
        &mut self,
        pool: &mut ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut taken: BTreeSet<EndpointId> = BTreeSet::new();
        for (_, records) in partition_by_domain(&pool.free) {
            for profile in &pool.engine.models {
                let mut usable: Vec<&EndpointRecord> = records
                    .iter()
                    .copied()
                    .filter(|record| !taken.contains(&record.id))
                    .filter(|record| self.has_or_loads(record, &profile.model, input))
                    .collect();
                // VMs that had the model in their last group join fastest.
                usable.sort_by_key(|record| record.model.as_ref() != Some(&profile.model));
                for members in usable.chunks_exact(profile.vms_per_group.max(1)) {
                    taken.extend(members.iter().map(|record| record.id.clone()));
                    self.start_group(profile, members, input, orders);
                }
            }
        }
        pool.free.retain(|record| !taken.contains(&record.id));
    }

    /// Returns whether a VM may join a group of `model`: its host stores the weights, or
    /// loads them while loads are not limited yet.
    fn has_or_loads(&self, record: &EndpointRecord, model: &str, input: &PlannerInput<'_>) -> bool {
        if record.has_staged(model) {
            return true;
        }
        let is_loading = self.loading.get(&record.id);
        !input.has_traffic && is_loading.is_some_and(|loading| loading.model == model)
    }

    fn start_group(
        &mut self,
        profile: &ModelProfile,
        members: &[&EndpointRecord],
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let key = self.next_key('g');
        let pending = PendingGroup {
            model: profile.model.clone(),
            members: members.iter().map(|record| record.id.clone()).collect(),
        };
        for id in &pending.members {
            self.retry_at.remove(&(id.clone(), "join"));
            let order = pending.join(&key);
            self.push(id, order, "enough free VMs in the domain", input, orders);
        }
        self.pending_groups.insert(key, pending);
    }
}
