//! Response of a home router to a slot request.

use serde::Deserialize;
use serde::Serialize;

use super::SlotRefusal;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::Milliseconds;
use crate::ids::TargetId;

/// Number of slots granted to a router, or the reason why none are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Target to which the slots belong.
    pub target: TargetId,
    /// Epoch of the home's router list.
    pub epoch: Epoch,
    /// Sequence number of the request that this grant answers.
    pub number: u64,
    /// Maximum number of requests in progress, including those already running.
    pub slots: u32,
    /// Validity of the grant, counted from when the router sent its request.
    pub valid_ms: Milliseconds,
    /// Generation of the group for which the home granted the slots.
    pub generation: Generation,
    /// Whether the target is in cold start.
    pub is_cold: bool,
    /// Unallocated slots that remain after this grant.
    pub free: u32,
    /// Reason for a grant of zero slots.
    pub refusal: Option<SlotRefusal>,
}
