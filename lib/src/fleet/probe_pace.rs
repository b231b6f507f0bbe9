//! When a group may be probed again.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// First pause between two probes of a group.
const FIRST_PAUSE_MS: Milliseconds = 250;
/// Longest pause; callers leave a stream after two seconds without an event.
const LONGEST_PAUSE_MS: Milliseconds = 2_000;

/// Spaces the probes of one group: a probe costs a call to every member, and a group
/// that is only slow would be probed after each of its events.
#[derive(Clone, Copy, Debug)]
pub struct ProbePace {
    next_at: Instant,
    pause_ms: Milliseconds,
}

impl ProbePace {
    /// Starts with a probe that is due.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Tells whether a probe may be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Notes a probe; the pauses grow until there has been none for a while.
    pub fn note_probe(&mut self, now: Instant) {
        if now >= self.next_at + Duration::from_millis(LONGEST_PAUSE_MS) {
            self.pause_ms = FIRST_PAUSE_MS;
        }
        self.next_at = now + Duration::from_millis(self.pause_ms);
        self.pause_ms = (2 * self.pause_ms).min(LONGEST_PAUSE_MS);
    }
}
