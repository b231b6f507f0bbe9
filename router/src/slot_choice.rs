//! A slot that has been found for a request.

use jujuberoad::ids::TargetId;
use jujuberoad::routing::RouteTarget;
use jujuberoad::slots::SlotPermit;

/// The slot, where it is, and what was passed over.
#[derive(Clone, Debug)]
pub(crate) struct SlotChoice {
    /// The permit.
    pub(crate) permit: SlotPermit,
    /// The target as it is at this moment.
    pub(crate) target: RouteTarget,
    /// Better targets on which there was no slot.
    pub(crate) passed_over: Vec<TargetId>,
}
