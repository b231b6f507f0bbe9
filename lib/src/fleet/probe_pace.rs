//! When a group may be probed again.

use std::time::Duration;
use std::time::Instant;

/// First pause between two probes of a group.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause; callers leave a stream after two seconds without an event.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);

/// Spaces the probes of one group: a probe costs a call to every member, and a group
/// that is only slow would be probed after each of its events.
#[derive(Clone, Copy, Debug)]
pub struct ProbePace {
    next_at: Instant,
    pause: Duration,
}

impl ProbePace {
    /// Starts with a probe that is due.
    pub fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            pause: FIRST_PAUSE,
        }
    }

    /// Tells whether a probe may be sent.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Notes a probe; the pauses grow until there has been none for a while.
    pub fn note_probe(&mut self, now: Instant) {
        if now >= self.next_at + LONGEST_PAUSE {
            self.pause = FIRST_PAUSE;
        }
        self.next_at = now + self.pause;
        self.pause = (2 * self.pause).min(LONGEST_PAUSE);
    }
}
