//! A home's answer to a request for slots.

use serde::Deserialize;
use serde::Serialize;

use super::SlotRefusal;
use crate::ids::Epoch;
use crate::ids::Generation;
use crate::ids::Milliseconds;
use crate::ids::TargetId;

/// How many requests the router may have in progress on the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Target whose slots are granted.
    pub target: TargetId,
    /// Epoch of the router list at the home.
    pub epoch: Epoch,
    /// Number of the request that is answered.
    pub number: u64,
    /// Requests that the router may have in progress, those in progress included.
    pub slots: u32,
    /// Time for which the grant lasts, counted from when the request was sent.
    pub valid_ms: Milliseconds,
    /// Generation of the group that the home has checked.
    pub generation: Generation,
    /// Whether the target is in cold start.
    pub is_cold: bool,
    /// Slots that nobody holds after this grant.
    pub free: u32,
    /// Why nothing is granted, when nothing is.
    pub refusal: Option<SlotRefusal>,
}
