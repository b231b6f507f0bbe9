//! What a server allows the other side of a connection.

use jujuberoad::ids::Milliseconds;

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Time within which a head must have arrived, idle time included.
    pub head_timeout_ms: Milliseconds,
    /// Headers that a request may have.
    pub max_headers: usize,
    /// Bytes that a head may have.
    pub max_head_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_timeout_ms: 10_000,
            max_headers: 64,
            max_head_bytes: 64 << 10,
        }
    }
}
