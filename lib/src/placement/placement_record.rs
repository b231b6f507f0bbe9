//! The groups of one availability zone, as stored in the platform's store.

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
    /// Fencing token of the placer that wrote the record.
    pub fence: Fence,
    /// Random value by which a writer recognizes its own record when it reads back
    /// a write without a response.
    pub nonce: Nonce,
    /// Number in the name of the next group.
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

    /// Returns the group that has `vm` as a member.
    pub fn group_of(&self, vm: &str) -> Option<&GroupRecord> {
        self.groups.values().find(|group| group.holds(vm))
    }

    /// Returns the VMs that are in more than one group or more than once in the same one.
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
