//! A group of VMs that together hold one model replica.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::GroupState;
use super::MemberRecord;
use crate::ids::DomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;

/// What the placement record says about one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name of the group.
    pub group: GroupId,
    /// Grows each time the members, model or version change.
    pub generation: Generation,
    /// Fabric domain that all members share.
    pub domain: DomainId,
    /// Model that the members load.
    pub model: ModelId,
    /// Version of the model.
    pub version: SmolStr,
    /// Adapters beside the model.
    pub adapters: Vec<SmolStr>,
    /// Whether the group is meant to take work.
    pub state: GroupState,
    /// Members by rank; requests go to the first.
    pub members: Vec<MemberRecord>,
}

impl GroupRecord {
    /// Tells whether `vm` is a member.
    pub fn holds(&self, vm: &str) -> bool {
        self.members.iter().any(|member| member.vm == vm)
    }
}
