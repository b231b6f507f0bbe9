//! All registered endpoints.

use std::collections::BTreeMap;
use std::time::Instant;

use super::EndpointRecord;
use super::EngineReport;
use crate::ids::EndpointId;

/// The registry as far as it is known, changed by events and by full reads.
///
/// Entries may lapse while the registry itself is away; those that a full read
/// after an outage does not show are kept until a grace period has ended.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    records: BTreeMap<EndpointId, EndpointRecord>,
    missing_until: BTreeMap<EndpointId, Instant>,
    is_registry_unavailable: bool,
    /// Moment until which entries of endpoints that live may be missing.
    settles_at: Option<Instant>,
}

impl EndpointTable {
    /// Adds or replaces an endpoint.
    ///
    /// What an endpoint has said itself since its entry was written stands against
    /// that entry, which is read again after an outage of the registry.
    pub fn upsert(&mut self, mut record: EndpointRecord) {
        self.missing_until.remove(&record.id);
        if let Some(old) = self.records.get(&record.id)
            && old.is_reported
            && old.incarnation == record.incarnation
            && old.entry_writes == record.entry_writes
        {
            record.membership = old.membership.clone();
            record.model = old.model.clone();
            record.staged = old.staged.clone();
            record.is_reported = true;
        }
        self.records.insert(record.id.clone(), record);
    }

    /// Removes an endpoint, at once or once `keep_until` has passed.
    pub fn remove(&mut self, id: &str, keep_until: Option<Instant>) {
        match keep_until {
            Some(until) if self.records.contains_key(id) => {
                self.missing_until.entry(id.into()).or_insert(until);
            }
            _ => {
                self.records.remove(id);
                self.missing_until.remove(id);
            }
        }
    }

    /// Takes a full read; endpoints that it lacks go, at once or at `keep_until`.
    pub fn replace_all(&mut self, records: Vec<EndpointRecord>, keep_until: Option<Instant>) {
        let mut missing: Vec<EndpointId> = self.records.keys().cloned().collect();
        for record in records {
            missing.retain(|id| *id != record.id);
            self.upsert(record);
        }
        for id in missing {
            self.remove(&id, keep_until);
        }
    }

    /// Removes the endpoints whose grace period has ended; tells whether any went.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut has_changed = false;
        if self.settles_at.is_some_and(|at| now >= at) {
            self.settles_at = None;
            has_changed = true;
        }
        let ended: Vec<EndpointId> = self
            .missing_until
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.missing_until.remove(&id);
            has_changed |= self.records.remove(&id).is_some();
        }
        has_changed
    }

    /// Notes that entries of endpoints that live may be missing until `at`: this table
    /// was read by a process that does not know what had lapsed before.
    pub fn set_settles_at(&mut self, at: Instant) {
        self.settles_at = Some(at);
    }

    /// Tells whether endpoints without an entry are gone.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles_at.is_none_or(|at| now >= at)
    }

    /// Notes whether the registry cannot be read.
    pub fn set_registry_unavailable(&mut self, is_lost: bool) {
        self.is_registry_unavailable = is_lost;
    }

    /// Takes what an endpoint said when it was asked; tells whether that is news.
    ///
    /// A report is some hundred milliseconds old, so it counts only while the registry
    /// cannot be read: an entry that it put back would not be written again.
    pub fn apply_report(&mut self, id: &str, report: EngineReport) -> bool {
        self.is_registry_unavailable && self.apply_peer_report(id, report)
    }

    /// Takes what a peer read in a registry that is newer than the one known here;
    /// tells whether that is news. A report of another life is passed over.
    pub fn apply_peer_report(&mut self, id: &str, report: EngineReport) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_current = record.incarnation == report.incarnation;
        let is_news = record.membership != report.membership || record.staged != report.staged;
        if !is_current || !is_news {
            return false;
        }
        record.membership = report.membership;
        record.model = report.model;
        record.staged = report.staged;
        record.is_reported = true;
        true
    }

    /// Returns an endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id)
    }

    /// Returns all endpoints in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
