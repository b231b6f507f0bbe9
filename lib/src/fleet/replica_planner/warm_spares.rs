//! Spares that hold a model before they are needed.

use std::collections::BTreeSet;

use super::super::GroupSummary;
use super::super::MemberState;
use super::super::PlannedOrder;
use super::super::PlannerInput;
use super::super::ReplicaOrder;
use super::ReplicaPlanner;
use super::Sorting;
use crate::ids::EndpointId;

impl ReplicaPlanner {
    /// Has spares hold their model alone: the next join of a VM whose last group held
    /// the same model takes a fraction of the time.
    pub(super) fn warm_spares(
        &mut self,
        sorting: &mut Sorting<'_>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        let mut warming = BTreeSet::new();
        for record in &sorting.free {
            let Some(model) = record.staged.first() else {
                continue;
            };
            let is_warm = record.model.as_ref() == Some(model)
                || self.warmed.get(&record.id) == Some(&(record.incarnation, model.clone()));
            if is_warm || self.warming.contains_key(&record.id) {
                continue;
            }
            let key = self.next_key('w');
            let order = ReplicaOrder::Join {
                key: key.clone(),
                model: model.clone(),
                members: vec![record.id.clone()],
            };
            self.push(&record.id, order, "a spare is warmed", input, orders);
            self.warming.insert(record.id.clone(), key);
            warming.insert(record.id.clone());
        }
        sorting.free.retain(|record| !warming.contains(&record.id));
    }

    /// Tends the group of one in which a spare is warmed; nothing for other groups.
    pub(super) fn tend_warming(
        &mut self,
        summary: &GroupSummary,
        input: &PlannerInput<'_>,
        orders: &mut Vec<PlannedOrder>,
    ) -> Option<Vec<EndpointId>> {
        let (_, id, state) = summary.members.first()?;
        if self.warming.get(id) != Some(&summary.key) {
            return None;
        }
        if *state == MemberState::Joining {
            return Some(vec![id.clone()]);
        }
        self.warming.remove(id);
        if let Some(record) = input.table.get(id) {
            let warmed = (record.incarnation, summary.model.clone());
            self.warmed.insert(id.clone(), warmed);
        }
        Some(self.dissolve(summary, input, orders))
    }
}
