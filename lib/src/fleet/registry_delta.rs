//! Changes of the registry that one router relays to others.

use serde::Deserialize;
use serde::Serialize;

use super::DeltaStep;
use super::RegistryChange;
use crate::ids::StoreVersion;

/// Largest number of changes in a delta, so that it fits in a datagram.
const MAX_CHANGES: usize = 8;

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
