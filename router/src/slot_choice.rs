//! A slot chosen for a request.

use jujuberoad::ids::TargetId;
use jujuberoad::routing::RouteTarget;
use jujuberoad::slots::SlotPermit;

/// A slot, its target and the better-ranked targets without a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotChoice {
    /// Permission to run the request on the target.
    pub(crate) permit: SlotPermit,
    /// The target at the time of the choice.
    pub(crate) target: RouteTarget,
    /// Better-ranked targets without a usable slot; only the first few are kept.
    pub(crate) passed_over: Vec<TargetId>,
}
