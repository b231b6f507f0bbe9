//! Permission to have one request in progress on a target.

use std::time::Instant;

use crate::ids::Generation;
use crate::ids::TargetId;

/// One slot, taken from a router's wallet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPermit {
    /// Target on which the request may run.
    pub target: TargetId,
    /// Generation for which it may run.
    pub generation: Generation,
    /// Moment by which the request must have been sent.
    pub send_by: Instant,
    /// Whether the target is in cold start.
    pub is_cold: bool,
}
