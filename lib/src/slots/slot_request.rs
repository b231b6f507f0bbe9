//! A router's request for slots.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::Incarnation;
use crate::ids::RouterId;
use crate::ids::TargetId;

/// Asks the home of a target for slots, and renews those that are held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Target whose slots are asked for.
    pub target: TargetId,
    /// Router that asks.
    pub router: RouterId,
    /// Incarnation of that router; numbers start anew with it.
    pub incarnation: Incarnation,
    /// Epoch of the router list by which the home was found.
    pub epoch: Epoch,
    /// Grows with each request of this router for this target.
    pub number: u64,
    /// Requests that the router has in progress on the target.
    pub in_use: u32,
    /// Slots that the router may use until it has the answer, those in use
    /// included; it has given back what it held beyond.
    pub holding: u32,
    /// Further requests that it would start at once.
    pub wanted: u32,
    /// Whether the target's home does not answer and its standby is asked.
    pub is_to_standby: bool,
}
