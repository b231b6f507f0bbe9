//! Notices that a group has stopped to produce events.

use std::time::Duration;
use std::time::Instant;

/// Shortest silence that is taken as a sign; events of a full batch are about
/// 50 ms apart, and a long prompt read in between adds up to 45 ms.
const MIN_STALL: Duration = Duration::from_millis(120);
/// Longest silence that passes as normal; pauses of 200 to 300 ms are on time.
const MAX_STALL: Duration = Duration::from_millis(400);
/// Silence is a sign after this many usual gaps.
const STALL_GAP_FACTOR: f64 = 2.5;
/// Weight of a new gap in the mean of gaps.
const GAP_EWMA_WEIGHT: f64 = 0.1;
/// Gap that is assumed before any has been seen.
const INITIAL_GAP_MS: f64 = 55.0;

/// Watches the events of all streams of one group.
///
/// The streams of a group advance together, so silence over all of them says
/// more than silence of one.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_event: Instant,
    gap_ms: f64,
    running_streams: usize,
}

impl StallDetector {
    /// Starts to watch a group.
    pub fn new(now: Instant) -> Self {
        Self {
            last_event: now,
            gap_ms: INITIAL_GAP_MS,
            running_streams: 0,
        }
    }

    /// Notes that a stream has had its first event.
    pub fn stream_started(&mut self, now: Instant) {
        if self.running_streams == 0 {
            self.last_event = now;
        }
        self.running_streams += 1;
    }

    /// Notes that a stream with events has ended.
    pub fn stream_ended(&mut self) {
        self.running_streams = self.running_streams.saturating_sub(1);
    }

    /// Notes an event of any stream.
    pub fn observe_event(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        // Streams of one pass arrive together; only the gap between passes counts.
        if gap_ms > 5.0 {
            self.gap_ms += GAP_EWMA_WEIGHT * (gap_ms - self.gap_ms);
        }
        self.last_event = now;
    }

    /// Returns the moment from which the group counts as silent.
    pub fn stall_deadline(&self) -> Option<Instant> {
        if self.running_streams == 0 {
            return None;
        }
        let usual = Duration::from_secs_f64(self.gap_ms * STALL_GAP_FACTOR / 1_000.0);
        Some(self.last_event + usual.clamp(MIN_STALL, MAX_STALL))
    }

    /// Returns the moment of the last event.
    pub fn last_event(&self) -> Instant {
        self.last_event
    }
}
