//! Models to preload on spare VMs, so that these can replace a lost member.

use std::collections::BTreeMap;

use super::GroupRecord;
use super::GroupState;
use super::PlacementRecord;
use super::PlanInput;
use crate::ids::DomainId;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Spares of a zone that may load at the same time. The weight store is
/// rate-limited, and loads for groups have priority.
const MAX_CONCURRENT_PRELOADS: usize = 2;

/// Plans the preloads of one zone.
pub(super) struct SparePlan<'a> {
    input: &'a PlanInput<'a>,
    planned: &'a PlacementRecord,
}

impl<'a> SparePlan<'a> {
    pub(super) fn new(input: &'a PlanInput<'a>, planned: &'a PlacementRecord) -> Self {
        Self { input, planned }
    }

    /// Returns the model to preload on each spare.
    ///
    /// No preload starts until every member of every group has loaded, or is loading,
    /// the model of its group.
    pub(super) fn models(&self) -> BTreeMap<VmId, ModelId> {
        let mut models = BTreeMap::new();
        let may_start_loads = self
            .planned
            .groups
            .values()
            .all(|group| self.holds_model(group));
        let mut loading = 0;
        for (vm, status) in self.input.vms {
            let Some(spec) = self.input.config.vms.get(vm) else {
                continue;
            };
            if status.leaving || self.planned.group_of(vm).is_some() {
                continue;
            }
            let Some(model) = self.most_used_model(&spec.domain) else {
                continue;
            };
            let is_held = status.model == model;
            if !is_held && (!may_start_loads || loading == MAX_CONCURRENT_PRELOADS) {
                continue;
            }
            loading += usize::from(!is_held);
            models.insert(vm.clone(), model);
        }
        models
    }

    /// Returns the model with the most active groups in a fabric domain.
    fn most_used_model(&self, domain: &DomainId) -> Option<ModelId> {
        let mut counts: BTreeMap<&ModelId, usize> = BTreeMap::new();
        for group in self.planned.groups.values() {
            if group.domain == *domain && group.state == GroupState::Active {
                *counts.entry(&group.model).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(model, _)| model.clone())
    }

    fn holds_model(&self, group: &GroupRecord) -> bool {
        group.members.iter().all(|member| {
            let status = self.input.vms.get(&member.vm);
            status.is_some_and(|status| status.model == group.model)
        })
    }
}
