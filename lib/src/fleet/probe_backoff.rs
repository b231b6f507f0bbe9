//! Backoff between probes of a group.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// Initial delay between two probes of a group.
const INITIAL_DELAY_MS: Milliseconds = 250;
/// Largest delay. Callers abandon a stream after 2 s without an event.
const MAX_DELAY_MS: Milliseconds = 2_000;

/// Exponential backoff for the probes of one group. A probe calls every member, and
/// without backoff a group that is merely slow would be probed after each event.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBackoff {
    next_at: Instant,
    delay_ms: Milliseconds,
}

impl ProbeBackoff {
    /// Creates a backoff that allows a probe immediately.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            delay_ms: INITIAL_DELAY_MS,
        }
    }

    /// Returns whether a probe may be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Records a probe and doubles the delay. The delay starts over if the last probe became
    /// due more than the largest delay ago.
    pub fn record_probe(&mut self, now: Instant) {
        if now >= self.next_at + Duration::from_millis(MAX_DELAY_MS) {
            self.delay_ms = INITIAL_DELAY_MS;
        }
        self.next_at = now + Duration::from_millis(self.delay_ms);
        self.delay_ms = (2 * self.delay_ms).min(MAX_DELAY_MS);
    }
}
