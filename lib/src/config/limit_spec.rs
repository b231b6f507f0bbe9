//! Fleet-wide limits.

use crate::ids::Milliseconds;

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSpec {
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Timeout for a complete response.
    pub request_timeout_ms: Milliseconds,
    /// Timeout for a request that waits for a slot.
    pub queue_timeout_ms: Milliseconds,
    /// Time without a token after which a stream counts as stalled.
    pub silence_timeout_ms: Milliseconds,
    /// Time that requests in progress are given when an endpoint or router is drained.
    pub drain_timeout_ms: Milliseconds,
}
