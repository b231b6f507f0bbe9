//! A group as its members describe it.

use super::GroupKey;
use super::MemberState;
use crate::ids::DomainId;
use crate::ids::EndpointId;
use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// Members and state of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSummary {
    /// The group.
    pub key: GroupKey,
    /// Service of its members.
    pub service: ServiceId,
    /// Model that it holds.
    pub model: ModelId,
    /// Availability zone of its head, or of any member where the head is gone.
    pub zone: ZoneId,
    /// Fabric domain of its members.
    pub domain: DomainId,
    /// Members that are registered, by rank.
    pub members: Vec<(usize, EndpointId, MemberState)>,
    /// VMs that the model needs.
    pub size: usize,
    /// Whether a member is about to leave.
    pub is_draining: bool,
    /// Whether members that live may have no entry yet.
    pub may_lack_entries: bool,
}

impl GroupSummary {
    /// Returns the head, if it is registered.
    pub fn head(&self) -> Option<&EndpointId> {
        let (rank, id, _) = self.members.first()?;
        (*rank == 0).then_some(id)
    }

    /// Returns the state of the head, if it is registered.
    pub fn head_state(&self) -> Option<MemberState> {
        let (rank, _, state) = self.members.first()?;
        (*rank == 0).then_some(*state)
    }

    /// Tells whether all members are registered, each at its rank.
    pub fn is_complete(&self) -> bool {
        self.members.len() == self.size
            && self
                .members
                .iter()
                .enumerate()
                .all(|(place, (rank, _, _))| place == *rank)
    }

    /// Tells whether every member holds its part of the model.
    pub fn is_loaded(&self) -> bool {
        self.is_complete() && self.has_loaded_members()
    }

    /// Tells whether it may be given requests.
    ///
    /// A group that is open was whole. While entries may be missing, more than half of
    /// them speak for all; streams show soon where that was wrong.
    pub fn is_serving(&self) -> bool {
        let is_open = !self.is_draining && self.head_state() == Some(MemberState::Open);
        let is_believed = self.may_lack_entries && 2 * self.members.len() > self.size;
        is_open && self.has_loaded_members() && (self.is_complete() || is_believed)
    }

    fn has_loaded_members(&self) -> bool {
        let mut states = self.members.iter().map(|(_, _, state)| state);
        states.all(|state| !matches!(state, MemberState::Joining | MemberState::Broken))
    }
}
