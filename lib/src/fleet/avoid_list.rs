//! Endpoints and groups that are temporarily excluded from routing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use super::GroupKey;
use super::ServingTarget;
use crate::ids::EndpointId;

/// Largest fraction of endpoints that may be excluded as slow. When more of them are
/// slow, the cause is load, and excluding them would overload the rest.
const MAX_SLOW_FRACTION: f64 = 0.25;

/// Endpoints and groups that this router excludes, by reason, each until a deadline.
#[derive(Clone, Debug, Default)]
pub struct AvoidList {
    unreachable: HashMap<EndpointId, Instant>,
    slow: HashMap<EndpointId, Instant>,
    groups: HashMap<GroupKey, Instant>,
}

impl AvoidList {
    /// Excludes an endpoint that does not respond.
    pub fn mark_unreachable(&mut self, endpoint: &EndpointId, until: Instant) {
        self.unreachable.insert(endpoint.clone(), until);
    }

    /// Lifts the exclusion of an unresponsive endpoint.
    pub fn clear_unreachable(&mut self, endpoint: &EndpointId) {
        self.unreachable.remove(endpoint);
    }

    /// Excludes one of `endpoint_count` endpoints because it is slow. Returns false when
    /// the limit on slow endpoints is reached and the endpoint stays in use.
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

    /// Excludes a group whose members have left it.
    pub fn mark_dissolved(&mut self, group: &GroupKey, now: Instant, until: Instant) {
        self.groups.retain(|_, until| now < *until);
        self.groups.insert(group.clone(), until);
    }

    /// Returns the endpoints that are excluded as unresponsive or slow.
    pub fn endpoints(&mut self, now: Instant) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        for endpoints in [&mut self.unreachable, &mut self.slow] {
            endpoints.retain(|_, until| now < *until);
            found.extend(endpoints.keys().cloned());
        }
        found
    }

    /// Returns whether a target must not get requests.
    pub fn is_avoided(&self, target: &ServingTarget, now: Instant) -> bool {
        let is_marked = |id: &EndpointId| {
            let marks = [self.unreachable.get(id), self.slow.get(id)];
            marks.into_iter().flatten().any(|until| now < *until)
        };
        is_marked(&target.endpoint)
            || target.members.iter().any(|(id, _)| is_marked(id))
            || self.is_dissolved(target, now)
    }

    /// Returns whether a target cannot serve at all: a member does not respond, or its
    /// group has dissolved.
    pub fn is_unusable(&self, target: &ServingTarget, now: Instant) -> bool {
        let mut ids = target.members.iter().map(|(id, _)| id);
        ids.any(|id| self.unreachable.get(id).is_some_and(|until| now < *until))
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
