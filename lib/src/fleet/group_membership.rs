//! The part of a VM in a group.

use serde::Deserialize;
use serde::Serialize;

use super::GroupKey;
use super::MemberState;

/// What a VM says of the group that it has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// The group.
    pub key: GroupKey,
    /// Place among the members; 0 is the head.
    pub rank: usize,
    /// State of this member.
    pub state: MemberState,
}
