//! Estimates how long ago a rejected caller made its first attempt.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::Milliseconds;

/// Longest timeout that callers of each route have sent.
///
/// A rejected caller retries with the remainder of its timeout. Its response will
/// be late in any case, so the request is queued behind those that can still meet
/// their objective.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    longest_timeout_ms: HashMap<SmolStr, Milliseconds>,
}

impl RetryDetector {
    /// Records the timeout of a request; returns the estimated time since the caller's
    /// first attempt.
    pub fn observe(&mut self, route: &SmolStr, timeout_ms: Milliseconds) -> Milliseconds {
        let longest = self
            .longest_timeout_ms
            .entry(route.clone())
            .or_insert(timeout_ms);
        *longest = (*longest).max(timeout_ms);
        longest.saturating_sub(timeout_ms)
    }
}
