//! Deadlines of draining groups.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use super::GroupState;
use super::PlacementRecord;
use crate::ids::GroupId;

/// Tracks the drain deadlines and tells which draining groups may be removed.
///
/// The deadlines are soft state: after a failover the new placer restarts them,
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
    /// Starts the deadline of each group that has begun to drain, and drops those of
    /// groups that no longer drain.
    ///
    /// A group counts as idle no earlier than `idle_from`, by when every router
    /// has learned that it accepts no new requests.
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

    /// Returns the groups without requests in progress and those whose deadline has passed.
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
