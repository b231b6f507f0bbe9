//! Deadlines of draining groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use super::GroupState;
use super::PlacementRecord;
use crate::ids::GroupId;

/// Tells which draining groups may be taken apart.
///
/// The deadlines are soft state: a placer that takes over starts them anew,
/// which only gives requests in progress more time.
#[derive(Clone, Debug, Default)]
pub struct DrainTracker {
    deadlines: BTreeMap<GroupId, DrainDeadline>,
}

#[derive(Clone, Copy, Debug)]
struct DrainDeadline {
    idle_from: Instant,
    ends_at: Instant,
}

impl DrainTracker {
    /// Starts the deadlines of groups that have begun to drain.
    ///
    /// A group counts as quiet no earlier than `idle_from`, when every router
    /// has learned that it takes no new work.
    pub fn observe(&mut self, record: &PlacementRecord, idle_from: Instant, ends_at: Instant) {
        let is_draining = |group: &GroupId| {
            record
                .groups
                .get(group)
                .is_some_and(|group| group.state == GroupState::Draining)
        };
        self.deadlines.retain(|group, _| is_draining(group));
        for group in record.groups.values() {
            if group.state != GroupState::Draining {
                continue;
            }
            let deadline = DrainDeadline { idle_from, ends_at };
            self.deadlines
                .entry(group.group.clone())
                .or_insert(deadline);
        }
    }

    /// Returns the groups that are empty or whose deadline has passed.
    pub fn drained(&self, now: Instant, is_empty: impl Fn(&GroupId) -> bool) -> BTreeSet<GroupId> {
        let mut drained = BTreeSet::new();
        for (group, deadline) in &self.deadlines {
            let is_idle = now >= deadline.idle_from && is_empty(group);
            if is_idle || now >= deadline.ends_at {
                drained.insert(group.clone());
            }
        }
        drained
    }
}
