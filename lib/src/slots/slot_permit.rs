//! Permit to run one request on a target.

use std::time::Instant;

use crate::ids::Generation;
use crate::ids::TargetId;

/// One slot acquired from a router's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPermit {
    /// Target on which the request may run.
    pub target: TargetId,
    /// Group generation for which the slot was granted.
    pub generation: Generation,
    /// Deadline for sending the request.
    pub send_by: Instant,
    /// Whether the target is in cold start.
    pub is_cold: bool,
}
