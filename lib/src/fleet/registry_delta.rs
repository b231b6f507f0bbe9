//! Changes of the registry that one router relays to others.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::EndpointRecord;
use crate::ids::EndpointId;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// Largest number of changes in a delta, so that it fits in a datagram.
const MAX_CHANGES: usize = 8;

/// A registry entry that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryChange {
    /// Version of the change.
    pub version: StoreVersion,
    /// Endpoint whose entry changed.
    pub endpoint: EndpointId,
    /// The entry; `None` if it was removed or cannot be read.
    pub record: Option<EndpointRecord>,
    /// Time for which the endpoint stays cold; processes share no clock.
    cold_ms: Milliseconds,
}

impl RegistryChange {
    /// Creates a change that is relayed at `now`.
    pub fn new(
        version: StoreVersion,
        endpoint: EndpointId,
        record: Option<EndpointRecord>,
        now: Instant,
    ) -> Self {
        let cold_until = record.as_ref().and_then(|record| record.cold_until);
        let cold = cold_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        Self {
            version,
            endpoint,
            record,
            cold_ms: cold.as_millis() as Milliseconds,
        }
    }

    /// Returns the entry as received at `now`.
    pub fn into_record(self, now: Instant) -> Option<EndpointRecord> {
        let cold_until = now + Duration::from_millis(self.cold_ms);
        let mut record = self.record?;
        record.cold_until = (self.cold_ms > 0).then_some(cold_until);
        Some(record)
    }
}

/// What a router does with a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaStep {
    /// The delta continues the known version and is applied.
    Apply,
    /// The known version includes the delta.
    Outdated,
    /// Changes before the delta are missing, so the registry itself must be asked.
    Gap,
}

/// All changes of the registry after one version up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryDelta {
    /// Version before the first change.
    pub from: StoreVersion,
    /// Version that the registry has with the changes.
    pub to: StoreVersion,
    /// The changes, in order of version.
    pub changes: Vec<RegistryChange>,
}

impl RegistryDelta {
    /// Splits the changes between two versions into deltas that fit into datagrams. Changes
    /// of one version stay together.
    pub fn split(from: StoreVersion, to: StoreVersion, changes: Vec<RegistryChange>) -> Vec<Self> {
        let mut deltas: Vec<Self> = Vec::new();
        let mut current = Self {
            from,
            to: from,
            changes: Vec::new(),
        };
        for change in changes {
            let is_new_version = change.version > current.to;
            if current.changes.len() >= MAX_CHANGES && is_new_version {
                let next = Self {
                    from: current.to,
                    to: current.to,
                    changes: Vec::new(),
                };
                deltas.push(std::mem::replace(&mut current, next));
            }
            current.to = current.to.max(change.version);
            current.changes.push(change);
        }
        current.to = to.max(current.to);
        deltas.push(current);
        deltas
    }

    /// Decides what a router does with the delta that knows the registry at `known`.
    pub fn step(&self, known: StoreVersion) -> DeltaStep {
        if self.to <= known {
            DeltaStep::Outdated
        } else if self.from > known {
            DeltaStep::Gap
        } else {
            DeltaStep::Apply
        }
    }

    /// Returns the changes that a router lacks that knows the registry at `known`.
    pub fn changes_after(self, known: StoreVersion) -> impl Iterator<Item = RegistryChange> {
        let changes = self.changes.into_iter();
        changes.filter(move |change| change.version > known)
    }
}
