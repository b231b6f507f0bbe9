//! Outcomes of the last one to two seconds.

use std::time::Duration;
use std::time::Instant;

use crate::peer::TargetOutcomes;

/// Time after which the current half of the window becomes the previous one.
const HALF_WINDOW: Duration = Duration::from_millis(1_000);

/// Outcomes of one target in the last one to two half windows.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeWindow {
    current: TargetOutcomes,
    previous: TargetOutcomes,
    /// When the current half ends.
    half_end: Instant,
}

impl OutcomeWindow {
    /// Creates an empty window.
    pub fn new(now: Instant) -> Self {
        Self {
            current: TargetOutcomes::default(),
            previous: TargetOutcomes::default(),
            half_end: now + HALF_WINDOW,
        }
    }

    /// Adds outcomes that became known at `now`.
    pub fn add(&mut self, outcomes: TargetOutcomes, now: Instant) {
        self.advance(now);
        self.current.on_time = self.current.on_time.saturating_add(outcomes.on_time);
        self.current.late = self.current.late.saturating_add(outcomes.late);
    }

    /// Drops outcomes that are older than the window.
    pub fn advance(&mut self, now: Instant) {
        if now < self.half_end {
            return;
        }
        let is_recent = now < self.half_end + HALF_WINDOW;
        self.previous = if is_recent {
            self.current
        } else {
            TargetOutcomes::default()
        };
        self.current = TargetOutcomes::default();
        self.half_end = now + HALF_WINDOW;
    }

    /// Returns the sum of the window.
    pub fn total(&self) -> TargetOutcomes {
        TargetOutcomes {
            on_time: self.current.on_time.saturating_add(self.previous.on_time),
            late: self.current.late.saturating_add(self.previous.late),
        }
    }
}
