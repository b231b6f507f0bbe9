//! The groups of one availability zone as the platform's store keeps them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::GroupRecord;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Nonce;
use crate::ids::VmId;
use crate::ids::ZoneId;

/// All groups of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// The availability zone.
    pub zone: ZoneId,
    /// Fence of the placer that wrote the record.
    pub fence: Fence,
    /// Drawn by the writer, who finds out by it whether a write took effect.
    pub nonce: Nonce,
    /// Number given to the group that is formed next.
    pub next_group: u64,
    /// Groups by name.
    pub groups: BTreeMap<GroupId, GroupRecord>,
}

impl PlacementRecord {
    /// Returns an empty record of `zone`.
    pub fn empty(zone: ZoneId) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Returns the group that holds `vm`.
    pub fn group_of(&self, vm: &str) -> Option<&GroupRecord> {
        self.groups.values().find(|group| group.holds(vm))
    }

    /// Returns the VMs that stand in more than one group or twice in one.
    pub fn duplicate_vms(&self) -> BTreeSet<VmId> {
        let mut seen = BTreeSet::new();
        let mut shared = BTreeSet::new();
        for member in self.groups.values().flat_map(|group| &group.members) {
            if !seen.insert(&member.vm) {
                shared.insert(member.vm.clone());
            }
        }
        shared
    }
}
