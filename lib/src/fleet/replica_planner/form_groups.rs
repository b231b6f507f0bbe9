//! Forms new groups from free VMs of one fabric domain.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::EndpointRecord;
use super::super::ModelDemand;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::FleetLayout;
use super::PendingGroup;
use super::ReplicaPlanner;
use super::ServicePool;
use super::partition_by_domain;
use crate::ids::DomainId;
use crate::ids::ServiceId;
use crate::serving::ModelProfile;

/// Time after which free VMs form a group beyond the planned number. Until then they are
/// kept for the repair of planned groups.
const MIN_SURPLUS_TIME: Duration = Duration::from_millis(2_000);

/// Free VMs by domain.
pub(super) type FreeVms<'a> = BTreeMap<DomainId, Vec<&'a EndpointRecord>>;

impl ReplicaPlanner {
    /// Forms groups from free VMs. The model with the least capacity relative to its share
    /// comes first, then the next one, if the first cannot get a group anywhere.
    pub(super) fn form_groups(
        &mut self,
        service: &ServiceId,
        pool: &mut ServicePool<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(mut layout) = self.layouts.remove(service) else {
            return;
        };
        if layout.is_settled(input) {
            let mut free = partition_by_domain(&pool.free);
            self.form_converted(&mut layout, pool.engine, &mut free, input, orders);
            while let Some((profile, members)) = self.next_group(&layout, pool, &free, input) {
                let head = members[0];
                layout.add_group(&profile.model, &head.domain, &head.zone);
                for records in free.values_mut() {
                    records.retain(|record| !members.iter().any(|member| member.id == record.id));
                }
                self.start_group(profile, &members, input, orders);
            }
            pool.free = free.into_values().flatten().collect();
        }
        self.layouts.insert(service.clone(), layout);
    }

    /// Chooses the model and the members of the next group.
    fn next_group<'a>(
        &self,
        layout: &FleetLayout,
        pool: &ServicePool<'a>,
        free: &FreeVms<'a>,
        input: &PlannerInput<'_>,
    ) -> Option<(&'a ModelProfile, Vec<&'a EndpointRecord>)> {
        let mut profiles: Vec<&ModelProfile> = pool.engine.models.iter().collect();
        profiles.sort_by(|left, right| layout.coverage(left).total_cmp(&layout.coverage(right)));
        for profile in profiles {
            let mut best: Option<(usize, usize, Vec<&EndpointRecord>)> = None;
            for (domain, records) in free {
                if !self.is_wanted(layout, profile, domain, records, input) {
                    continue;
                }
                let Some((slow_count, members)) = self.choose_members(profile, records, input)
                else {
                    continue;
                };
                let zone_count = layout.zone_count(&profile.model, &members[0].zone);
                let is_better = best
                    .as_ref()
                    .is_none_or(|(slow, zone, _)| (slow_count, zone_count) < (*slow, *zone));
                if is_better {
                    best = Some((slow_count, zone_count, members));
                }
            }
            if let Some((_, _, members)) = best {
                return Some((profile, members));
            }
        }
        None
    }

    /// Returns whether a domain may get one more group of a model.
    fn is_wanted(
        &self,
        layout: &FleetLayout,
        profile: &ModelProfile,
        domain: &str,
        records: &[&EndpointRecord],
        input: &PlannerInput<'_>,
    ) -> bool {
        if !input.has_traffic {
            let count = layout.count_in(&profile.model, domain);
            return count < layout.planned_in(&profile.model, domain);
        }
        if layout.group_count(&profile.model) < layout.planned(&profile.model) {
            return true;
        }
        let is_settled =
            |record: &&&EndpointRecord| self.is_free_for(record, MIN_SURPLUS_TIME, input);
        let settled_count = records.iter().filter(is_settled).count();
        settled_count >= profile.vms_per_group + self.spare_count(layout, domain, profile)
    }

    /// Returns the number of spare VMs that a domain keeps beside a surplus group.
    fn spare_count(&self, layout: &FleetLayout, domain: &str, profile: &ModelProfile) -> usize {
        layout
            .demands_in(domain)
            .map(|demand| demand.spare_count())
            .max()
            .unwrap_or(0)
            .max(ModelDemand::of(profile).spare_count())
    }

    /// Chooses the members of a group among the free VMs of a domain; returns how many of
    /// them have to load the model from their hosts first.
    ///
    /// VMs that had the model in their last group join fastest. Of the others, those that
    /// can join no other group are taken first.
    fn choose_members<'a>(
        &self,
        profile: &ModelProfile,
        records: &[&'a EndpointRecord],
        input: &PlannerInput<'_>,
    ) -> Option<(usize, Vec<&'a EndpointRecord>)> {
        let is_slow = |record: &EndpointRecord| self.loaded_model(record) != Some(&profile.model);
        let mut usable: Vec<&EndpointRecord> = records
            .iter()
            .copied()
            .filter(|record| self.can_join(record, &profile.model, input))
            .collect();
        usable.sort_by_key(|record| {
            let is_flexible = self
                .loaded_model(record)
                .is_some_and(|loaded| record.staged.iter().any(|staged| staged != loaded));
            (is_slow(record), is_flexible)
        });
        let size = profile.vms_per_group.max(1);
        if usable.len() < size {
            return None;
        }
        usable.truncate(size);
        let slow_count = usable.iter().filter(|record| is_slow(record)).count();
        Some((slow_count, usable))
    }

    /// Orders VMs to join a new group.
    pub(super) fn start_group(
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
