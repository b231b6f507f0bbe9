//! Limits that hold for the whole fleet.

use crate::ids::Milliseconds;

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSpec {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a request must have its whole answer.
    pub request_timeout_ms: Milliseconds,
    /// Time for which a request may wait for a slot.
    pub queue_timeout_ms: Milliseconds,
    /// Time after which a stream without a token counts as silent.
    pub silence_timeout_ms: Milliseconds,
    /// Time that requests in progress have when an endpoint or router leaves.
    pub drain_timeout_ms: Milliseconds,
}
