//! Preloads models on spare VMs.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::EndpointRecord;
use super::super::GroupSummary;
use super::super::MemberState;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::ReplicaPlanner;
use super::ServicePool;
use crate::ids::EndpointId;

/// Time that a VM must be free before it preloads a model. The VMs of a recovering domain
/// appear within a second of each other, and a VM that is preloading cannot join their
/// group.
const MIN_FREE_TIME: Duration = Duration::from_millis(1_000);

impl ReplicaPlanner {
    /// Records which VMs have a model loaded in a group; their next join with it is fast.
    pub(super) fn record_loaded_models(&mut self, input: &PlannerInput<'_>) {
        for record in input.table.iter() {
            let joined = record.membership.as_ref();
            let has_joined = joined.is_some_and(|joined| joined.state != MemberState::Joining);
            let Some(model) = record.model.as_ref().filter(|_| has_joined) else {
                continue;
            };
            let loaded_model = (record.incarnation, model.clone());
            if self.loaded_models.get(&record.id) != Some(&loaded_model) {
                self.loaded_models.insert(record.id.clone(), loaded_model);
            }
        }
    }

    /// Records since when the VMs of a service have been free.
    pub(super) fn record_free_vms(
        &mut self,
        service: &str,
        pool: &ServicePool<'_>,
        input: &PlannerInput<'_>,
    ) {
        let free: BTreeSet<&EndpointId> = pool.free.iter().map(|record| &record.id).collect();
        self.free_since.retain(|id, _| {
            let record = input.table.get(id);
            record.is_some_and(|record| record.service != service || free.contains(id))
        });
        for id in free {
            self.free_since.entry(id.clone()).or_insert(input.now);
        }
    }

    /// Returns whether a VM has been free for `span`.
    pub(super) fn is_free_for(
        &self,
        record: &EndpointRecord,
        span: Duration,
        input: &PlannerInput<'_>,
    ) -> bool {
        let since = self.free_since.get(&record.id);
        since.is_some_and(|since| input.now >= *since + span)
    }

    /// Orders spare VMs to join single-member groups and load their model. A VM that had the
    /// same model in its last group joins in a fraction of the time.
    pub(super) fn warm_spares(
        &mut self,
        pool: &mut ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        if !input.has_traffic && !self.pending_groups.is_empty() {
            // Groups must be open before traffic starts, and orders take time.
            return;
        }
        let mut started = BTreeSet::new();
        for record in &pool.free {
            let Some(model) = record.staged.first() else {
                continue;
            };
            let is_warm = self.loaded_model(record).is_some();
            let is_settled = !input.has_traffic || self.is_free_for(record, MIN_FREE_TIME, input);
            if is_warm || !is_settled || self.warmup_groups.contains_key(&record.id) {
                continue;
            }
            let key = self.next_key('w');
            let order = ReplicaOrder::Join {
                key: key.clone(),
                model: model.clone(),
                members: vec![record.id.clone()],
            };
            self.push(
                &record.id,
                order,
                "preloading the model on a spare",
                input,
                orders,
            );
            self.warmup_groups.insert(record.id.clone(), key);
            started.insert(record.id.clone());
        }
        pool.free.retain(|record| !started.contains(&record.id));
    }

    /// Reconciles a single-member group in which a spare VM preloads its model; returns the
    /// VMs that are not free, or `None` for other groups.
    pub(super) fn reconcile_warmup(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Option<Vec<EndpointId>> {
        let (_, id, state) = summary.members.first()?;
        if self.warmup_groups.get(id) != Some(&summary.key) {
            return None;
        }
        if *state == MemberState::Joining {
            return Some(vec![id.clone()]);
        }
        self.warmup_groups.remove(id);
        if let Some(record) = input.table.get(id) {
            let loaded_model = (record.incarnation, summary.model.clone());
            self.loaded_models.insert(id.clone(), loaded_model);
        }
        Some(self.dissolve(summary, input, orders))
    }
}
