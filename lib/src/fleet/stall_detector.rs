//! Detects that a group has stopped sending events.

use std::time::Duration;
use std::time::Instant;

/// Minimum time without events that counts as a stall. Events of a full batch are about
/// 50 ms apart, and the prefill of a long prompt in between adds up to 45 ms.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum time without events that does not count as a stall. Gaps of 200 to 300 ms
/// still meet the objectives.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Multiple of the mean gap between events after which a group counts as stalled.
const STALL_GAP_FACTOR: f64 = 2.5;
/// Weight of a new gap in the exponentially weighted mean.
const GAP_EWMA_WEIGHT: f64 = 0.1;
/// Mean gap assumed before the first event.
const INITIAL_GAP_MS: f64 = 55.0;

/// Observes the events of all streams of one group.
///
/// The streams of a group advance in the same batch steps, so a gap in all of them is
/// better evidence of a stall than a gap in one.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_event: Instant,
    gap_ms: f64,
    running_streams: usize,
}

impl StallDetector {
    /// Creates a detector for a group without running streams.
    pub fn new(now: Instant) -> Self {
        Self {
            last_event: now,
            gap_ms: INITIAL_GAP_MS,
            running_streams: 0,
        }
    }

    /// Records the first event of a stream.
    pub fn stream_started(&mut self, now: Instant) {
        if self.running_streams == 0 {
            self.last_event = now;
        }
        self.running_streams += 1;
    }

    /// Records the end of a stream that has had an event.
    pub fn stream_ended(&mut self) {
        self.running_streams = self.running_streams.saturating_sub(1);
    }

    /// Records an event of any stream.
    pub fn observe_event(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        // Events of one batch step arrive together; only gaps between steps count.
        if gap_ms > 5.0 {
            self.gap_ms += GAP_EWMA_WEIGHT * (gap_ms - self.gap_ms);
        }
        self.last_event = now;
    }

    /// Returns the time from which the group counts as stalled, or `None` if no stream runs.
    pub fn stall_deadline(&self) -> Option<Instant> {
        if self.running_streams == 0 {
            return None;
        }
        let timeout = Duration::from_secs_f64(self.gap_ms * STALL_GAP_FACTOR / 1_000.0);
        Some(self.last_event + timeout.clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT))
    }

    /// Returns the time of the last event.
    pub fn last_event(&self) -> Instant {
        self.last_event
    }
}
