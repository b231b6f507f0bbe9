//! Membership of a VM in a group.

use serde::Deserialize;
use serde::Serialize;

use super::GroupKey;
use super::MemberState;

/// The group that a VM has joined, and the VM's rank and state in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Key of the group.
    pub key: GroupKey,
    /// Rank among the members; rank 0 is the head, which takes the requests.
    pub rank: usize,
    /// State of this member.
    pub state: MemberState,
}
