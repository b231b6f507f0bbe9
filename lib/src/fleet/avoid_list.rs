//! Endpoints and groups that get no work for a while.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use super::GroupKey;
use super::ServingTarget;
use crate::ids::EndpointId;

/// Part of all endpoints that may count as slow: with more of them it is the load.
const MAX_SLOW_FRACTION: f64 = 0.25;

/// What this router avoids, each until a moment, and why.
#[derive(Clone, Debug, Default)]
pub struct AvoidList {
    lost: HashMap<EndpointId, Instant>,
    slow: HashMap<EndpointId, Instant>,
    groups: HashMap<GroupKey, Instant>,
}

impl AvoidList {
    /// Avoids an endpoint that does not answer.
    pub fn mark_unreachable(&mut self, endpoint: &EndpointId, until: Instant) {
        self.lost.insert(endpoint.clone(), until);
    }

    /// Forgets that an endpoint did not answer.
    pub fn clear_unreachable(&mut self, endpoint: &EndpointId) {
        self.lost.remove(endpoint);
    }

    /// Avoids one of `endpoint_count` endpoints because it is slow; tells whether it is
    /// avoided, as only a few may be.
    pub fn mark_slow(
        &mut self,
        endpoint: &EndpointId,
        endpoint_count: usize,
        now: Instant,
        until: Instant,
    ) -> bool {
        self.slow.retain(|_, until| now < *until);
        let is_full = self.slow.len() as f64 >= endpoint_count as f64 * MAX_SLOW_FRACTION;
        if is_full && !self.slow.contains_key(endpoint) {
            return false;
        }
        self.slow.insert(endpoint.clone(), until);
        true
    }

    /// Avoids a group whose members have moved on.
    pub fn mark_dissolved(&mut self, group: &GroupKey, now: Instant, until: Instant) {
        self.groups.retain(|_, until| now < *until);
        self.groups.insert(group.clone(), until);
    }

    /// Returns the endpoints that do not answer or are too slow to be of use.
    pub fn endpoints(&mut self, now: Instant) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        for endpoints in [&mut self.lost, &mut self.slow] {
            endpoints.retain(|_, until| now < *until);
            found.extend(endpoints.keys().cloned());
        }
        found
    }

    /// Tells whether a target gets no work.
    pub fn is_avoided(&self, target: &ServingTarget, now: Instant) -> bool {
        let is_marked = |id: &EndpointId| {
            let marks = [self.lost.get(id), self.slow.get(id)];
            marks.into_iter().flatten().any(|until| now < *until)
        };
        is_marked(&target.endpoint)
            || target.members.iter().any(|(id, _)| is_marked(id))
            || self.is_dissolved(target, now)
    }

    /// Tells whether a target is known not to work at all.
    pub fn is_unusable(&self, target: &ServingTarget, now: Instant) -> bool {
        let mut ids = target.members.iter().map(|(id, _)| id);
        ids.any(|id| self.lost.get(id).is_some_and(|until| now < *until))
            || self.is_dissolved(target, now)
    }

    fn is_dissolved(&self, target: &ServingTarget, now: Instant) -> bool {
        let until = target
            .group
            .as_ref()
            .and_then(|group| self.groups.get(group));
        until.is_some_and(|until| now < *until)
    }
}
