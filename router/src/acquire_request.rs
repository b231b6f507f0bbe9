//! A request for one slot.

use jujuberoad::admission::QueueTicket;
use jujuberoad::ids::TargetId;
use jujuberoad::routing::ChoiceHint;

use crate::slot_demand::SlotDemand;

/// What a slot is needed for, and how long its request may wait.
#[derive(Clone, Debug)]
pub(crate) struct AcquireRequest {
    /// What the slot is for.
    pub(crate) demand: SlotDemand,
    /// Place in the queue; its `id` is given by the desk.
    pub(crate) ticket: QueueTicket,
    /// What the choice depends on.
    pub(crate) hint: ChoiceHint,
    /// Target that has just failed the request.
    pub(crate) avoid: Option<TargetId>,
}
