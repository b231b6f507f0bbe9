//! A group of VMs that together serve one model replica.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::GroupState;
use super::MemberRecord;
use crate::ids::DomainId;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::ModelId;

/// Entry of the placement record for one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Name of the group.
    pub group: GroupId,
    /// Incremented whenever the members, version or adapters change.
    pub generation: Generation,
    /// Fabric domain that all members share.
    pub domain: DomainId,
    /// Model that the members load.
    pub model: ModelId,
    /// Version of the model.
    pub version: SmolStr,
    /// Adapters to load in addition to the model.
    pub adapters: Vec<SmolStr>,
    /// Whether the group should accept new requests.
    pub state: GroupState,
    /// Members in the order of their ranks; requests go to the first.
    pub members: Vec<MemberRecord>,
}

impl GroupRecord {
    /// Tells whether `vm` is a member.
    pub fn holds(&self, vm: &str) -> bool {
        self.members.iter().any(|member| member.vm == vm)
    }
}
