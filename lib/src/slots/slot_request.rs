//! Request of a router for slots.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Epoch;
use crate::ids::Incarnation;
use crate::ids::RouterId;
use crate::ids::TargetId;

/// Requests slots from the home of a target and renews those already held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Target whose slots are requested.
    pub target: TargetId,
    /// Router that sends the request.
    pub router: RouterId,
    /// Incarnation of that router; sequence numbers restart with each incarnation.
    pub incarnation: Incarnation,
    /// Epoch of the router list from which the home was determined.
    pub epoch: Epoch,
    /// Sequence number, which increases with each request of this router for this
    /// target.
    pub number: u64,
    /// Requests that the router has in progress on the target.
    pub in_use: u32,
    /// Slots that the router keeps until the response arrives, including those in
    /// use; it has released all others.
    pub holding: u32,
    /// Additional requests that the router would start immediately.
    pub wanted: u32,
    /// Whether the request goes to the standby because the home does not respond.
    pub is_to_standby: bool,
}
