//! Tells callers that come back from those that come for the first time.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::ids::Milliseconds;

/// Longest patience that callers of each route have shown.
///
/// A caller that was refused comes back with what is left of its patience. Its
/// answer is late by then, so it goes behind those that can still be on time.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    longest_timeout_ms: HashMap<SmolStr, Milliseconds>,
}

impl RetryDetector {
    /// Notes the patience of a request; returns the time since its caller first asked.
    pub fn observe(&mut self, route: &SmolStr, timeout_ms: Milliseconds) -> Milliseconds {
        let longest = self
            .longest_timeout_ms
            .entry(route.clone())
            .or_insert(timeout_ms);
        *longest = (*longest).max(timeout_ms);
        longest.saturating_sub(timeout_ms)
    }
}
