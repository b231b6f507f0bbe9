//! Placement by best fit within a fabric domain, with in-place repair of groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::GroupRecord;
use super::GroupState;
use super::MemberRecord;
use super::PlacementPlanner;
use super::PlacementRecord;
use super::PlanInput;
use super::spare_plan::SparePlan;
use crate::config::ModelSpec;
use crate::ids::DomainId;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Replaces a lost member with a VM of the same fabric domain, forms new groups
/// in the domain with the fewest free VMs that still fits one, and starts a
/// replacement before it drains a group with leaving members.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainPlanner;

impl PlacementPlanner for DomainPlanner {
    fn plan(&self, input: &PlanInput<'_>) -> PlacementRecord {
        let mut draft = PlanDraft::new(input);
        draft.remove_drained();
        draft.repair_groups();
        for (model, spec) in &input.config.models {
            let wanted = input.wanted.get(model).copied().unwrap_or(0);
            draft.roll_out_version(spec);
            draft.scale_to_count(spec, wanted);
        }
        draft.drain_unknown_models();
        draft.record
    }

    fn preloads(
        &self,
        input: &PlanInput<'_>,
        planned: &PlacementRecord,
    ) -> BTreeMap<VmId, ModelId> {
        SparePlan::new(input, planned).models()
    }
}

struct PlanDraft<'a> {
    input: &'a PlanInput<'a>,
    record: PlacementRecord,
}

impl<'a> PlanDraft<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        Self {
            input,
            record: input.current.clone(),
        }
    }

    fn remove_drained(&mut self) {
        self.record
            .groups
            .retain(|group, _| !self.input.drained.contains(group));
    }

    /// Replaces lost members. A group without enough replacements is removed, so
    /// that its remaining VMs can be used by other groups.
    fn repair_groups(&mut self) {
        let names: Vec<GroupId> = self.record.groups.keys().cloned().collect();
        for name in names {
            let group = &self.record.groups[&name];
            let kept = self.present_members(group);
            let lost = group.members.len() - kept.len();
            let restarted = kept.iter().any(|member| !group.members.contains(member));
            if lost == 0 && !restarted {
                continue;
            }
            if group.state == GroupState::Draining {
                self.record.groups.remove(&name);
                continue;
            }
            let mut spares = self.free_vms(&group.domain);
            spares.sort_by_key(|vm| self.input.vms[vm].model != group.model);
            if spares.len() < lost {
                self.record.groups.remove(&name);
                continue;
            }
            let mut members = kept;
            for vm in spares.iter().take(lost) {
                members.push(self.member_record(vm));
            }
            if let Some(group) = self.record.groups.get_mut(&name) {
                group.members = members;
                group.generation += 1;
            }
        }
    }

    /// Rolls out a new version one group at a time, so that the others keep serving.
    fn roll_out_version(&mut self, spec: &ModelSpec) {
        let groups = self.active_groups_of(&spec.model);
        let is_current =
            |group: &GroupRecord| group.version == spec.version && group.adapters == spec.adapters;
        let all_ready = groups
            .iter()
            .all(|group| self.is_ready(&self.record.groups[group]));
        let others_can_serve = groups.len() < 2 || all_ready;
        if !others_can_serve {
            return;
        }
        for name in groups {
            let Some(group) = self.record.groups.get_mut(&name) else {
                continue;
            };
            if is_current(group) {
                continue;
            }
            group.version = spec.version.clone();
            group.adapters = spec.adapters.clone();
            group.generation += 1;
            return;
        }
    }

    fn scale_to_count(&mut self, spec: &ModelSpec, wanted: u64) {
        let active = self.active_groups_of(&spec.model);
        let leaving = self.leaving_groups(&active);
        let staying = active.len() - leaving.len();
        let missing = (wanted as usize).saturating_sub(staying);
        let missing = missing - self.resume_draining(&spec.model, missing);
        let mut formed = 0;
        for _ in 0..missing {
            if !self.form_group(spec) {
                break;
            }
            formed += 1;
        }
        self.drain_leaving(spec, wanted as usize, formed);
        self.drain_surplus(spec, wanted as usize);
    }

    /// Reactivates up to `count` draining groups that have no leaving members and
    /// returns how many it reactivated.
    fn resume_draining(&mut self, model: &ModelId, count: usize) -> usize {
        let groups = self.record.groups.values();
        let draining = groups.filter(|group| group.state == GroupState::Draining);
        let names = draining
            .filter(|group| group.model == *model)
            .map(|group| group.group.clone());
        let names: Vec<GroupId> = names.collect();
        let leaving = self.leaving_groups(&names);
        let mut resumed = 0;
        for name in names {
            if resumed == count || leaving.contains(&name) {
                continue;
            }
            if let Some(group) = self.record.groups.get_mut(&name) {
                group.state = GroupState::Active;
                resumed += 1;
            }
        }
        resumed
    }

    /// Drains groups with leaving members once their replacements are ready, or at
    /// once when no replacement can be formed.
    fn drain_leaving(&mut self, spec: &ModelSpec, wanted: usize, formed: usize) {
        let active = self.active_groups_of(&spec.model);
        let leaving = self.leaving_groups(&active);
        let is_replacement_pending = formed > 0
            || active.iter().any(|group| {
                !leaving.contains(group) && !self.is_ready(&self.record.groups[group])
            });
        let ready = active
            .iter()
            .filter(|group| !leaving.contains(*group))
            .count();
        if is_replacement_pending && ready <= wanted {
            return;
        }
        for name in leaving {
            self.set_draining(&name);
        }
    }

    fn drain_surplus(&mut self, spec: &ModelSpec, wanted: usize) {
        let active = self.active_groups_of(&spec.model);
        let leaving = self.leaving_groups(&active);
        let mut staying: Vec<GroupId> = active
            .into_iter()
            .filter(|group| !leaving.contains(group))
            .collect();
        staying.sort_by_key(|group| !self.is_ready(&self.record.groups[group]));
        for name in staying.iter().skip(wanted) {
            self.set_draining(name);
        }
    }

    fn drain_unknown_models(&mut self) {
        for group in self.record.groups.values_mut() {
            if !self.input.config.models.contains_key(&group.model) {
                group.state = GroupState::Draining;
            }
        }
    }

    fn form_group(&mut self, spec: &ModelSpec) -> bool {
        let count = spec.vms_per_group as usize;
        let Some((domain, vms)) = self.best_fit_domain(count) else {
            return false;
        };
        let members = vms
            .iter()
            .take(count)
            .map(|vm| self.member_record(vm))
            .collect();
        let group = GroupRecord {
            group: format!("{}-g{}", self.record.zone, self.record.next_group).into(),
            generation: 1,
            domain,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapters: spec.adapters.clone(),
            state: GroupState::Active,
            members,
        };
        self.record.next_group += 1;
        self.record.groups.insert(group.group.clone(), group);
        true
    }

    /// Returns the domain with the fewest free VMs of those with at least `count`, and
    /// its free VMs.
    fn best_fit_domain(&self, count: usize) -> Option<(DomainId, Vec<VmId>)> {
        let mut domains: BTreeSet<&DomainId> = BTreeSet::new();
        for vm in self.input.vms.keys() {
            domains.extend(self.input.config.vms.get(vm).map(|spec| &spec.domain));
        }
        let mut best: Option<(DomainId, Vec<VmId>)> = None;
        for domain in domains {
            let free = self.free_vms(domain);
            if free.len() < count {
                continue;
            }
            if best.as_ref().is_none_or(|(_, vms)| free.len() < vms.len()) {
                best = Some((domain.clone(), free));
            }
        }
        best
    }

    fn free_vms(&self, domain: &DomainId) -> Vec<VmId> {
        let mut free = Vec::new();
        for (vm, status) in self.input.vms {
            let Some(spec) = self.input.config.vms.get(vm) else {
                continue;
            };
            let is_elsewhere = spec.domain != *domain || spec.zone != self.record.zone;
            if is_elsewhere || status.leaving || self.record.group_of(vm).is_some() {
                continue;
            }
            free.push(vm.clone());
        }
        free
    }

    fn present_members(&self, group: &GroupRecord) -> Vec<MemberRecord> {
        let mut present = Vec::new();
        for member in &group.members {
            let Some(status) = self.input.vms.get(&member.vm) else {
                continue;
            };
            let Some(spec) = self.input.config.vms.get(&member.vm) else {
                continue;
            };
            if spec.domain != group.domain {
                continue;
            }
            let incarnation = status.incarnation;
            present.push(MemberRecord {
                incarnation,
                address: spec.address,
                ..member.clone()
            });
        }
        present
    }

    fn member_record(&self, vm: &VmId) -> MemberRecord {
        MemberRecord {
            vm: vm.clone(),
            incarnation: self.input.vms[vm].incarnation,
            address: self.input.config.vms[vm].address,
        }
    }

    fn active_groups_of(&self, model: &ModelId) -> Vec<GroupId> {
        let groups = self.record.groups.values();
        let active = groups.filter(|group| group.state == GroupState::Active);
        active
            .filter(|group| group.model == *model)
            .map(|group| group.group.clone())
            .collect()
    }

    fn leaving_groups(&self, groups: &[GroupId]) -> BTreeSet<GroupId> {
        let mut leaving = BTreeSet::new();
        for name in groups {
            let members = &self.record.groups[name].members;
            let vms: &BTreeMap<_, _> = self.input.vms;
            let has_leaving = |vm: &VmId| vms.get(vm).is_some_and(|status| status.leaving);
            if members.iter().any(|member| has_leaving(&member.vm)) {
                leaving.insert(name.clone());
            }
        }
        leaving
    }

    fn is_ready(&self, group: &GroupRecord) -> bool {
        group.members.iter().all(|member| {
            let status = self.input.vms.get(&member.vm);
            status.is_some_and(|status| status.ready && status.incarnation == member.incarnation)
        })
    }

    fn set_draining(&mut self, name: &GroupId) {
        if let Some(group) = self.record.groups.get_mut(name) {
            group.state = GroupState::Draining;
        }
    }
}
