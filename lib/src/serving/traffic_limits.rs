//! Limits on requests and connections of callers.

use crate::ids::Milliseconds;

/// Limits on request heads, request bodies and idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLimits {
    /// Largest size of a request head, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time limit to receive a request head.
    pub head_timeout_ms: Milliseconds,
    /// Time after which an idle connection is closed.
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
