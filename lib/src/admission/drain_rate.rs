//! How fast a queue moves.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest interval between two requests that left the queue.
const NEWEST_WEIGHT: f64 = 0.1;
/// Longest time after which a caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Shortest time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Intervals that must have been seen before the pace is relied on.
const MIN_SAMPLES: u32 = 8;

/// Moving average of the time between two requests that leave a queue.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    busy_since: Option<Instant>,
    interval_seconds: f64,
    samples: u32,
}

impl DrainRate {
    /// Notes that a request has left the queue to be served, and whether it
    /// `leaves_others` waiting.
    ///
    /// Only the time from a request that left others waiting to the next one
    /// shows the pace of the targets; other times are those of the callers.
    pub fn observe(&mut self, leaves_others: bool, now: Instant) {
        let busy_since = self.busy_since.take();
        self.busy_since = leaves_others.then_some(now);
        let Some(busy_since) = busy_since else {
            return;
        };
        let seconds = now.saturating_duration_since(busy_since).as_secs_f64();
        let weight = if self.samples == 0 {
            1.0
        } else {
            NEWEST_WEIGHT
        };
        self.interval_seconds += weight * (seconds - self.interval_seconds);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns when `ahead` requests will have been served, if the pace is known.
    pub fn served_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let seconds = (self.interval_seconds * ahead as f64).min(3_600.0);
        Some(now + Duration::from_secs_f64(seconds))
    }

    /// Returns when a caller that is turned away should come back.
    pub fn retry_at(&self, ahead: usize, now: Instant) -> Instant {
        let earliest = now + MIN_RETRY_AFTER;
        let latest = now + MAX_RETRY_AFTER;
        self.served_at(ahead, now)
            .unwrap_or(earliest)
            .clamp(earliest, latest)
    }
}
