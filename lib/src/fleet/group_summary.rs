//! State of a group, combined from the entries of its members.

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
    /// Key of the group.
    pub key: GroupKey,
    /// Service that its members belong to.
    pub service: ServiceId,
    /// Model that it serves.
    pub model: ModelId,
    /// Availability zone of its head, or of any member if the head is not registered.
    pub zone: ZoneId,
    /// Fabric domain of its members.
    pub domain: DomainId,
    /// Registered members, sorted by rank.
    pub members: Vec<(usize, EndpointId, MemberState)>,
    /// Number of members that a replica of the model needs.
    pub size: usize,
    /// Whether any member is draining.
    pub is_draining: bool,
    /// Whether the registry has not settled, so that running members may have no entry.
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

    /// Returns whether every rank is registered exactly once.
    pub fn is_complete(&self) -> bool {
        self.members.len() == self.size
            && self
                .members
                .iter()
                .enumerate()
                .all(|(place, (rank, _, _))| place == *rank)
    }

    /// Returns whether the group is complete and every member has loaded its part of the
    /// model.
    pub fn is_loaded(&self) -> bool {
        self.is_complete() && self.has_loaded_members()
    }

    /// Returns whether the group may get requests.
    ///
    /// A group is opened only when complete. While the registry has not settled, an open
    /// group with more than half of its members registered is assumed to be complete; if
    /// it is not, its streams stall and are detected soon.
    pub fn is_serving(&self) -> bool {
        let is_open = !self.is_draining && self.head_state() == Some(MemberState::Open);
        let is_presumed_complete = self.may_lack_entries && 2 * self.members.len() > self.size;
        is_open && self.has_loaded_members() && (self.is_complete() || is_presumed_complete)
    }

    fn has_loaded_members(&self) -> bool {
        let mut states = self.members.iter().map(|(_, _, state)| state);
        states.all(|state| !matches!(state, MemberState::Joining | MemberState::Broken))
    }
}
