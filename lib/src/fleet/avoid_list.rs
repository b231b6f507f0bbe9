//! Endpoints and groups that are temporarily excluded from routing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use super::GroupKey;
use super::ServingTarget;
use super::SilenceKind;
use super::silence_record::SilenceRecord;
use crate::ids::EndpointId;

/// Largest fraction of endpoints that may be excluded as slow. When more of them are
/// slow, the cause is load, and excluding them would overload the rest.
const MAX_SLOW_FRACTION: f64 = 0.25;

/// Endpoints and groups that this router excludes, by reason, each until a deadline.
#[derive(Clone, Debug, Default)]
pub struct AvoidList {
    unreachable: HashMap<EndpointId, SilenceRecord>,
    slow: HashMap<EndpointId, Instant>,
    groups: HashMap<GroupKey, Instant>,
    /// Endpoints that want no requests of this router, until the end of their rest.
    resting: HashMap<EndpointId, Instant>,
}

impl AvoidList {
    /// Excludes an endpoint that does not respond; unless its loss is proved, that may be a
    /// pause.
    pub fn mark_unreachable(
        &mut self,
        endpoint: &EndpointId,
        kind: SilenceKind,
        now: Instant,
        until: Instant,
    ) {
        self.unreachable.retain(|_, record| now < record.until);
        let record = self.unreachable.entry(endpoint.clone());
        let record = record.or_insert_with(|| SilenceRecord::new(now, until));
        record.until = record.until.max(until);
        record.observe(kind, now);
    }

    /// Records what a failed probe of an excluded endpoint shows. It stays excluded as long as
    /// before: probes tell a pause from a loss, they are no request that failed.
    pub fn observe_probe(&mut self, endpoint: &EndpointId, kind: SilenceKind, now: Instant) {
        if let Some(record) = self.unreachable.get_mut(endpoint) {
            record.observe(kind, now);
        }
    }

    /// Returns the excluded endpoints that may still go on where they stopped.
    pub fn silent_endpoints(&self, now: Instant) -> BTreeSet<EndpointId> {
        let records = self.unreachable.iter();
        records
            .filter(|(_, record)| record.may_return(now))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Returns the silent endpoints that have to be probed now.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<EndpointId> {
        let records = self.unreachable.iter_mut();
        let due = records.filter_map(|(endpoint, record)| {
            let is_due = record.take_probe(now);
            is_due.then(|| endpoint.clone())
        });
        due.collect()
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

    /// Excludes an endpoint that wants a rest, of which it has asked for others perhaps. Returns
    /// whether its rest is a new one.
    pub fn mark_resting(&mut self, endpoint: &EndpointId, now: Instant, until: Instant) -> bool {
        self.resting.retain(|_, until| now < *until);
        let is_new = !self.resting.contains_key(endpoint);
        let known = self.resting.entry(endpoint.clone()).or_insert(until);
        *known = until.max(*known);
        is_new
    }

    /// Ends the rest of an endpoint that has started again.
    pub fn clear_resting(&mut self, endpoint: &EndpointId) {
        self.resting.remove(endpoint);
    }

    /// Returns when the rest of a target ends, if it wants one.
    pub fn rest_end(&self, target: &ServingTarget, now: Instant) -> Option<Instant> {
        let until = self.resting.get(&target.endpoint).copied();
        until.filter(|until| now < *until)
    }

    /// Returns the endpoints that are excluded as unresponsive or slow.
    pub fn endpoints(&mut self, now: Instant) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        self.unreachable.retain(|_, record| now < record.until);
        self.slow.retain(|_, until| now < *until);
        found.extend(self.unreachable.keys().cloned());
        found.extend(self.slow.keys().cloned());
        found
    }

    /// Returns whether a target must not get requests.
    pub fn is_avoided(&self, target: &ServingTarget, now: Instant) -> bool {
        let is_marked = |id: &EndpointId| {
            let is_slow = self.slow.get(id).is_some_and(|until| now < *until);
            is_slow || self.is_unreachable(id, now)
        };
        is_marked(&target.endpoint)
            || target.members.iter().any(|(id, _)| is_marked(id))
            || self.is_dissolved(target, now)
            || self.rest_end(target, now).is_some()
    }

    /// Returns whether a target is excluded because it or a member does not respond.
    pub fn is_out_of_reach(&self, target: &ServingTarget, now: Instant) -> bool {
        let mut members = target.members.iter();
        self.is_unreachable(&target.endpoint, now)
            || members.any(|(id, _)| self.is_unreachable(id, now))
    }

    /// Returns whether a target cannot serve at all: a member does not respond, or its
    /// group has dissolved.
    pub fn is_unusable(&self, target: &ServingTarget, now: Instant) -> bool {
        let mut ids = target.members.iter().map(|(id, _)| id);
        ids.any(|id| self.is_unreachable(id, now)) || self.is_dissolved(target, now)
    }

    fn is_unreachable(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let record = self.unreachable.get(endpoint);
        record.is_some_and(|record| now < record.until)
    }

    fn is_dissolved(&self, target: &ServingTarget, now: Instant) -> bool {
        let until = target
            .group
            .as_ref()
            .and_then(|group| self.groups.get(group));
        until.is_some_and(|until| now < *until)
    }
}
