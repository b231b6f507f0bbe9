//! What a caller may send.

use crate::ids::Milliseconds;

/// Limits on heads, bodies and idle connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// Time for a head.
    pub head_timeout_ms: Milliseconds,
    /// Time for which a connection may be idle.
    pub idle_timeout_ms: Milliseconds,
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
