//! Limits that a server imposes on its clients.

use jujuberoad::ids::Milliseconds;

/// Limits for request heads and for clients that do not read.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Timeout for receiving a head, including the idle time before it.
    pub head_timeout_ms: Milliseconds,
    /// Maximum number of headers.
    pub max_headers: usize,
    /// Maximum size of a head.
    pub max_head_bytes: usize,
    /// Time for which sent data may stay unacknowledged or unread.
    pub unacknowledged_ms: Milliseconds,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_timeout_ms: 10_000,
            max_headers: 64,
            max_head_bytes: 64 << 10,
            unacknowledged_ms: 3_000,
        }
    }
}
