//! Reconciles existing groups: opens them, closes them when a member drains, and
//! dissolves them when a member fails.

use std::collections::BTreeSet;

use super::super::EndpointRecord;
use super::super::EndpointState;
use super::super::GroupKey;
use super::super::GroupSummary;
use super::super::MemberState;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::PendingGroup;
use super::ReplicaPlanner;
use crate::ids::EndpointId;

impl ReplicaPlanner {
    /// Reconciles all groups of a service; returns the VMs that are not free.
    pub(super) fn reconcile_groups(
        &mut self,
        service: &str,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> BTreeSet<EndpointId> {
        let mut occupied = BTreeSet::new();
        for summary in input.groups.groups.values() {
            if summary.service != service || self.pending_groups.contains_key(&summary.key) {
                continue;
            }
            occupied.extend(self.reconcile_group(summary, input, orders));
        }
        let keys: Vec<GroupKey> = self.pending_groups.keys().cloned().collect();
        for key in keys {
            occupied.extend(self.reconcile_pending_group(&key, input, orders));
        }
        occupied
    }

    /// Reconciles a group that is not being formed; returns the members that are not free.
    fn reconcile_group(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        if let Some(occupied) = self.reconcile_warmup(summary, input, orders) {
            return occupied;
        }
        let members = || summary.members.iter().map(|(_, id, _)| id.clone());
        let has_unreachable = members().any(|id| input.unreachable.contains(&id));
        let is_complete = summary.is_complete() && !has_unreachable;
        if summary.may_lack_entries && !is_complete && !has_unreachable {
            // Missing members may still be running without a registry entry.
            return members().collect();
        }
        if has_unreachable && self.may_return(summary, input) {
            // Requests avoid the group, and spares may replace it, but its streams can go on.
            return members().collect();
        }
        match summary.head_state() {
            Some(MemberState::Open) if is_complete && !summary.is_draining => {
                self.close_for_conversion(summary, input, orders);
                members().collect()
            }
            Some(MemberState::Ready) if self.conversions.contains_key(&summary.key) => {
                self.keep_converted_members(summary, input);
                self.dissolve(summary, input, orders)
            }
            Some(MemberState::Ready | MemberState::Joining)
                if is_complete && !summary.is_draining =>
            {
                let pending = PendingGroup {
                    model: summary.model.clone(),
                    members: members().collect(),
                };
                self.pending_groups.insert(summary.key.clone(), pending);
                members().collect()
            }
            Some(MemberState::Open) if is_complete => {
                self.close_gracefully(summary, input, orders);
                members().collect()
            }
            Some(MemberState::Closing) if is_complete => members().collect(),
            _ => self.dissolve(summary, input, orders),
        }
    }

    /// Returns whether all members of a group that serves are there or only silent.
    fn may_return(&self, summary: &GroupSummary, input: &PlannerInput<'_>) -> bool {
        let mut members = summary.members.iter().map(|(_, id, _)| id);
        let is_serving = matches!(
            summary.head_state(),
            Some(MemberState::Open | MemberState::Closing)
        );
        is_serving
            && summary.is_complete()
            && members.all(|id| !input.unreachable.contains(id) || input.silent.contains(id))
    }

    /// Closes a group with a draining member so that it finishes its running requests.
    fn close_gracefully(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let Some(head) = summary.head() else {
            return;
        };
        let order = ReplicaOrder::Close {
            key: summary.key.clone(),
            is_abrupt: false,
        };
        self.push(head, order, "a member is draining", input, orders);
    }

    /// Orders the remaining members of a broken group to leave; returns those that have not
    /// left yet.
    ///
    /// A member that has left may join another group immediately. It does not wait for its
    /// old head, which may be unreachable and still open.
    pub(super) fn dissolve(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        let mut occupied = Vec::new();
        for (_, id, _) in &summary.members {
            if self.left_groups.get(id) == Some(&summary.key) || input.unreachable.contains(id) {
                continue;
            }
            occupied.push(id.clone());
            let key = summary.key.clone();
            self.push(
                id,
                ReplicaOrder::Leave { key },
                "the group is being dissolved",
                input,
                orders,
            );
        }
        occupied
    }

    /// Returns whether a VM is free. A VM in an unknown group is ordered to leave it.
    pub(super) fn reconcile_membership(
        &mut self,
        record: &EndpointRecord,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> bool {
        let Some(membership) = &record.membership else {
            return !self.warmup_groups.contains_key(&record.id);
        };
        if self.left_groups.get(&record.id) == Some(&membership.key) {
            return true;
        }
        // The entry of a joining member names no model until the model is loaded, so its
        // group can be absent from the index.
        let is_joining = membership.state == MemberState::Joining;
        if !is_joining && !input.groups.groups.contains_key(&membership.key) {
            let key = membership.key.clone();
            let order = ReplicaOrder::Leave { key };
            self.push(&record.id, order, "its group is unknown", input, orders);
        }
        false
    }

    /// Reconciles a group that is being formed; returns the VMs that are not free.
    fn reconcile_pending_group(
        &mut self,
        key: &GroupKey,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Vec<EndpointId> {
        let Some(pending) = self.pending_groups.get(key).cloned() else {
            return Vec::new();
        };
        let is_possible = pending.members.iter().all(|id| {
            let record = input.table.get(id);
            let is_ready = record.is_some_and(|record| {
                record.state == EndpointState::Ready && self.may_join(record, key)
            });
            is_ready && !input.unreachable.contains(id)
        });
        let summary = input.groups.groups.get(key);
        if !is_possible {
            self.pending_groups.remove(key);
            return summary.map_or(Vec::new(), |summary| self.dissolve(summary, input, orders));
        }
        if summary.is_some_and(|summary| summary.is_serving()) {
            self.pending_groups.remove(key);
            return pending.members;
        }
        let head = pending.members[0].clone();
        if summary.is_some_and(|summary| summary.is_loaded()) {
            let order = ReplicaOrder::Open { key: key.clone() };
            self.push(&head, order, "all members are ready", input, orders);
            return pending.members;
        }
        for id in &pending.members {
            let joined = input
                .table
                .get(id)
                .and_then(|record| record.membership.as_ref());
            if joined.is_some_and(|membership| membership.key == *key) {
                continue;
            }
            let order = pending.join(key);
            self.push(id, order, "a member has not joined yet", input, orders);
        }
        pending.members
    }

    /// Returns whether a VM is in no group or in the one that is being formed. A delayed
    /// order of an earlier planner may have put it into another one.
    fn may_join(&self, record: &EndpointRecord, key: &GroupKey) -> bool {
        let Some(membership) = &record.membership else {
            return true;
        };
        membership.key == *key || self.left_groups.get(&record.id) == Some(&membership.key)
    }
}
