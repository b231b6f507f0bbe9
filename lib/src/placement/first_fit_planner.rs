//! Baseline placement: first fit, with VMs in the order of their names.

use std::collections::BTreeMap;

use super::GroupRecord;
use super::GroupState;
use super::MemberRecord;
use super::PlacementPlanner;
use super::PlacementRecord;
use super::PlanInput;
use crate::ids::DomainId;
use crate::ids::VmId;

/// Removes a group with missing, restarted or leaving members and forms a new one
/// in the first domain that has enough free VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstFitPlanner;

impl PlacementPlanner for FirstFitPlanner {
    fn plan(&self, input: &PlanInput<'_>) -> PlacementRecord {
        let mut record = input.current.clone();
        record
            .groups
            .retain(|_, group| !input.drained.contains(&group.group));
        record.groups.retain(|_, group| is_complete(group, input));
        for (model, wanted) in input.wanted {
            let Some(spec) = input.config.models.get(model) else {
                continue;
            };
            let held = record
                .groups
                .values()
                .filter(|group| group.model == *model)
                .count() as u64;
            for _ in held..*wanted {
                let Some((domain, vms)) = first_fit_domain(&record, input, spec.vms_per_group)
                else {
                    break;
                };
                let members = vms.iter().map(|vm| member_record(vm, input)).collect();
                let group = GroupRecord {
                    group: format!("{}-g{}", record.zone, record.next_group).into(),
                    generation: 1,
                    domain,
                    model: model.clone(),
                    version: spec.version.clone(),
                    adapters: spec.adapters.clone(),
                    state: GroupState::Active,
                    members,
                };
                record.next_group += 1;
                record.groups.insert(group.group.clone(), group);
            }
        }
        record
    }
}

fn is_complete(group: &GroupRecord, input: &PlanInput<'_>) -> bool {
    group.members.iter().all(|member| {
        let status = input.vms.get(&member.vm);
        status.is_some_and(|status| status.incarnation == member.incarnation && !status.leaving)
    })
}

fn member_record(vm: &VmId, input: &PlanInput<'_>) -> MemberRecord {
    MemberRecord {
        vm: vm.clone(),
        incarnation: input.vms[vm].incarnation,
        address: input.config.vms[vm].address,
    }
}

fn first_fit_domain(
    record: &PlacementRecord,
    input: &PlanInput<'_>,
    count: u64,
) -> Option<(DomainId, Vec<VmId>)> {
    let mut free: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
    for (vm, status) in input.vms {
        let Some(spec) = input.config.vms.get(vm) else {
            continue;
        };
        if status.leaving || record.group_of(vm).is_some() {
            continue;
        }
        free.entry(spec.domain.clone())
            .or_default()
            .push(vm.clone());
    }
    for (domain, mut vms) in free {
        if vms.len() as u64 >= count {
            vms.truncate(count as usize);
            return Some((domain, vms));
        }
    }
    None
}
