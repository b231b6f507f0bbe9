//! When a group may be probed again.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// First pause between two probes of a group.
const INITIAL_DELAY_MS: Milliseconds = 250;
/// Longest pause; callers leave a stream after two seconds without an event.
const MAX_DELAY_MS: Milliseconds = 2_000;

/// Spaces the probes of one group: a probe costs a call to every member, and a group
/// that is only slow would be probed after each of its events.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBackoff {
    next_at: Instant,
    delay_ms: Milliseconds,
}

impl ProbeBackoff {
    /// Starts with a probe that is due.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            delay_ms: INITIAL_DELAY_MS,
        }
    }

    /// Tells whether a probe may be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Notes a probe; the pauses grow until there has been none for a while.
    pub fn record_probe(&mut self, now: Instant) {
        if now >= self.next_at + Duration::from_millis(MAX_DELAY_MS) {
            self.delay_ms = INITIAL_DELAY_MS;
        }
        self.next_at = now + Duration::from_millis(self.delay_ms);
        self.delay_ms = (2 * self.delay_ms).min(MAX_DELAY_MS);
    }
}
