//! What a server allows the other side of a connection.

use jujuberoad::ids::Milliseconds;

/// Limits on the heads of requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Time within which a head must have arrived, idle time included.
    pub head_ms: Milliseconds,
    /// Headers that a request may have.
    pub headers: usize,
    /// Bytes that a head may have.
    pub head_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_ms: 10_000,
            headers: 64,
            head_bytes: 64 << 10,
        }
    }
}
