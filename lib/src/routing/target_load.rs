//! What a chooser knows about a target.

use crate::ids::TargetId;
use crate::slots::TargetState;

/// Load of one target as its router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: TargetId,
    /// Whether it stands in the router's own availability zone.
    pub is_near: bool,
    /// What the newest grant said about it.
    pub state: TargetState,
    /// Slots that the router may use at once.
    pub spare: u32,
    /// Slots that nobody held at the time of the newest grant.
    pub free: u32,
    /// Requests that this router has in progress on it.
    pub in_use: u32,
    /// Slots that it has when warm.
    pub slots: u32,
}
