//! The local copy of the endpoint registry.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use super::EndpointRecord;
use super::EndpointState;
use super::EngineReport;
use crate::ids::EndpointId;
use crate::ids::Incarnation;

/// Number of endpoints that have left, or have said so, and are remembered. A copy of the registry is some
/// seconds old, and a few dozen endpoints leave in that time.
const MAX_DEPARTED: usize = 1_024;

/// The known state of the registry, updated by watch events and full reads.
///
/// Entries of running endpoints can expire during a registry outage because they cannot
/// be renewed. Entries that are absent from the first full read after an outage are
/// therefore kept for a grace period.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    records: BTreeMap<EndpointId, EndpointRecord>,
    missing_until: BTreeMap<EndpointId, Instant>,
    is_registry_unavailable: bool,
    /// Last entries of endpoints that have left, oldest first.
    departed: VecDeque<DepartedEntry>,
    /// Time until which entries of running endpoints may be missing.
    settles_at: Option<Instant>,
    /// Endpoints that have said in a response that they leave, oldest first.
    leaving: VecDeque<(EndpointId, Incarnation)>,
    /// Cold times of entries that are newer than those known.
    later_cold: BTreeMap<EndpointId, LaterCold>,
}

/// The cold time of an entry that is newer than the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LaterCold {
    incarnation: Incarnation,
    entry_writes: u64,
    cold_until: Instant,
}

/// The last entry of an endpoint that has left.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DepartedEntry {
    id: EndpointId,
    incarnation: Incarnation,
    entry_writes: u64,
}

impl EndpointTable {
    /// Adds or replaces an endpoint.
    ///
    /// A report that the endpoint made after its entry was written takes precedence when
    /// the same entry is read again after a registry outage.
    pub fn upsert(&mut self, mut record: EndpointRecord) {
        self.missing_until.remove(&record.id);
        if let Some(old) = self.records.get(&record.id)
            && old.has_newer_report
            && old.incarnation == record.incarnation
            && old.entry_writes == record.entry_writes
        {
            record.membership = old.membership.clone();
            record.model = old.model.clone();
            record.staged = old.staged.clone();
            record.has_newer_report = true;
        }
        if let Some(old) = self.records.get(&record.id)
            && old.incarnation == record.incarnation
            && record.entry_writes < old.entry_writes
        {
            record.cold_until = record.cold_until.max(old.cold_until);
        }
        if let Some(later) = self.later_cold.get(&record.id) {
            let is_older =
                later.incarnation == record.incarnation && record.entry_writes < later.entry_writes;
            if is_older {
                record.cold_until = record.cold_until.max(Some(later.cold_until));
            } else {
                self.later_cold.remove(&record.id);
            }
        }
        // The entry may be older than the response.
        let mut leaving = self.leaving.iter();
        if leaving.any(|(id, incarnation)| *id == record.id && *incarnation == record.incarnation) {
            record.state = EndpointState::Draining;
        }
        self.records.insert(record.id.clone(), record);
    }

    /// Records that an endpoint has said in a response that it leaves. It stays so until it
    /// starts again, whatever its entry says. Returns whether that is new.
    pub fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let was_ready = record.state == EndpointState::Ready;
        record.state = EndpointState::Draining;
        let left = (record.id.clone(), record.incarnation);
        if !self.leaving.contains(&left) {
            if self.leaving.len() >= MAX_DEPARTED {
                self.leaving.pop_front();
            }
            self.leaving.push_back(left);
        }
        was_ready
    }

    /// Removes an endpoint, immediately or at `keep_until`.
    pub fn remove(&mut self, id: &str, keep_until: Option<Instant>) {
        match keep_until {
            Some(until) if self.records.contains_key(id) => {
                self.missing_until.entry(id.into()).or_insert(until);
            }
            _ => {
                self.missing_until.remove(id);
                self.depart(id);
            }
        }
    }

    /// Applies a full read of a registry that was restored from an older copy. Endpoints that
    /// began to drain or left after the copy was taken stay so until they write their entries
    /// again; endpoints absent from the copy are removed at `keep_until`.
    pub fn replace_restored(&mut self, mut records: Vec<EndpointRecord>, keep_until: Instant) {
        records.retain(|record| !self.has_departed(record));
        for record in &mut records {
            let known = self.records.get(&record.id);
            let is_draining = known.is_some_and(|known| {
                known.incarnation == record.incarnation && known.state == EndpointState::Draining
            });
            if is_draining {
                record.state = EndpointState::Draining;
            }
            if let Some(known) = known
                && known.incarnation == record.incarnation
            {
                record.cold_until = record.cold_until.max(known.cold_until);
            }
        }
        self.replace_all(records, Some(keep_until));
    }

    fn has_departed(&self, record: &EndpointRecord) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|entry| {
            entry.id == record.id
                && entry.incarnation == record.incarnation
                && record.entry_writes <= entry.entry_writes
        })
    }

    fn depart(&mut self, id: &str) -> bool {
        self.later_cold.remove(id);
        let Some(record) = self.records.remove(id) else {
            return false;
        };
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(DepartedEntry {
            id: record.id,
            incarnation: record.incarnation,
            entry_writes: record.entry_writes,
        });
        true
    }

    /// Applies a full read. Endpoints absent from it are removed, immediately or at
    /// `keep_until`.
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

    /// Removes endpoints whose grace period has ended and ends the settling period when it
    /// is due. Returns whether anything changed.
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
            has_changed |= self.depart(&id);
        }
        has_changed
    }

    /// Sets the time until which entries of running endpoints may be missing. A process
    /// that has just started does not know which entries expired before its first read.
    pub fn set_settles_at(&mut self, at: Instant) {
        self.settles_at = Some(at);
    }

    /// Returns whether an endpoint without an entry can be considered gone.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles_at.is_none_or(|at| now >= at)
    }

    /// Sets whether the registry is unreadable.
    pub fn set_registry_unavailable(&mut self, is_unavailable: bool) {
        self.is_registry_unavailable = is_unavailable;
    }

    /// Applies a report polled from an endpoint; returns whether it changed the record.
    ///
    /// A report is a few hundred milliseconds old and may be older than the entry. If it
    /// replaced a newer entry, the record would stay outdated because an unchanged entry is
    /// not written again. Reports are therefore applied only while the registry is
    /// unreadable.
    pub fn apply_report(&mut self, id: &str, report: EngineReport) -> bool {
        self.is_registry_unavailable && self.apply_peer_report(id, report)
    }

    /// Applies a record that a peer read from a newer registry state; returns whether it
    /// changed the record. Reports of another incarnation are ignored.
    pub fn apply_peer_report(&mut self, id: &str, report: EngineReport) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_current = record.incarnation == report.incarnation;
        let has_changed = record.membership != report.membership || record.staged != report.staged;
        if !is_current || !has_changed {
            return false;
        }
        record.membership = report.membership;
        record.model = report.model;
        record.staged = report.staged;
        record.has_newer_report = true;
        true
    }

    /// Applies an entry that is newer than the known state of the registry, in which changes
    /// before it may be missing: its group, and what limits the requests to the endpoint, that it
    /// leaves or is cold. Returns whether anything changed. Other incarnations are ignored.
    pub fn apply_later_entry(&mut self, later: &EndpointRecord) -> bool {
        let mut has_changed = self.apply_peer_report(&later.id, later.report());
        let Some(record) = self.records.get_mut(&later.id) else {
            return has_changed;
        };
        if record.incarnation != later.incarnation {
            return has_changed;
        }
        if let Some(cold_until) = later.cold_until
            && record.entry_writes < later.entry_writes
            && record.cold_until < Some(cold_until)
        {
            record.cold_until = Some(cold_until);
            let later_cold = LaterCold {
                incarnation: later.incarnation,
                entry_writes: later.entry_writes,
                cold_until,
            };
            self.later_cold.insert(later.id.clone(), later_cold);
            has_changed = true;
        }
        if later.state == EndpointState::Draining {
            has_changed |= self.mark_leaving(&later.id);
        }
        has_changed
    }

    /// Returns the record of an endpoint.
    pub fn get(&self, id: &str) -> Option<&EndpointRecord> {
        self.records.get(id)
    }

    /// Returns all endpoints ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
