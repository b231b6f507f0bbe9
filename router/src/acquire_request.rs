//! Parameters for acquiring a slot.

use jujuberoad::admission::QueueTicket;
use jujuberoad::ids::TargetId;
use jujuberoad::routing::ChoiceHint;

use crate::slot_demand::SlotDemand;

/// What one slot is needed for, and how long to wait for it.
#[derive(Clone, Debug)]
pub(crate) struct AcquireRequest {
    /// Model or service that the target must serve.
    pub(crate) demand: SlotDemand,
    /// Queue ticket; the slot scheduler replaces its `id`.
    pub(crate) ticket: QueueTicket,
    /// Properties of the request that affect the choice of the target.
    pub(crate) hint: ChoiceHint,
    /// Target of the failed previous attempt, which is ranked last.
    pub(crate) avoid: Option<TargetId>,
}
