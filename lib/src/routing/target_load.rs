//! State of a target that affects the choice.

use crate::ids::TargetId;
use crate::slots::TargetState;

/// Load of one target as its router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: TargetId,
    /// Whether it is in the router's own availability zone.
    pub is_same_zone: bool,
    /// State according to the newest grant.
    pub state: TargetState,
    /// Slots that the router holds and can use immediately.
    pub spare: u32,
    /// Slots that no router held at the time of the newest grant.
    pub free: u32,
    /// Requests of this router in progress on the target.
    pub in_use: u32,
    /// Total number of slots when warm.
    pub slots: u32,
}
