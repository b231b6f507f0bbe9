//! Estimate of how fast a queue drains.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest interval in the moving average.
const INTERVAL_EWMA_WEIGHT: f64 = 0.1;
/// Maximum delay after which a rejected caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Minimum delay after which a rejected caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Number of intervals required before the average is used.
const MIN_SAMPLES: u32 = 8;

/// Exponential moving average of the interval between two dequeued requests.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    busy_since: Option<Instant>,
    interval_seconds: f64,
    samples: u32,
}

impl DrainRate {
    /// Records that a request was dequeued at `now`; with `has_backlog`, other
    /// requests are still waiting.
    ///
    /// An interval counts only if the queue was not empty at its start. Any other
    /// interval depends on when callers send requests, not on how fast the
    /// targets serve them.
    pub fn observe(&mut self, has_backlog: bool, now: Instant) {
        let busy_since = self.busy_since.take();
        self.busy_since = has_backlog.then_some(now);
        let Some(busy_since) = busy_since else {
            return;
        };
        let seconds = now.saturating_duration_since(busy_since).as_secs_f64();
        let weight = if self.samples == 0 {
            1.0
        } else {
            INTERVAL_EWMA_WEIGHT
        };
        self.interval_seconds += weight * (seconds - self.interval_seconds);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns when `ahead` requests will have been dequeued, or `None` before there
    /// are enough samples.
    pub fn served_at(&self, ahead: usize, now: Instant) -> Option<Instant> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let seconds = (self.interval_seconds * ahead as f64).min(3_600.0);
        Some(now + Duration::from_secs_f64(seconds))
    }

    /// Returns when a rejected caller should retry.
    pub fn retry_at(&self, ahead: usize, now: Instant) -> Instant {
        let earliest = now + MIN_RETRY_AFTER;
        let latest = now + MAX_RETRY_AFTER;
        self.served_at(ahead, now)
            .unwrap_or(earliest)
            .clamp(earliest, latest)
    }
}
