//! Holds calls to a service that does not answer.

use std::time::Duration;
use std::time::Instant;

/// Failures in a row, over all kinds of calls, from which the service counts as away.
const FAILURE_THRESHOLD: u32 = 2;
/// First and longest pause between calls that look whether it is back. Calls that a
/// service turns away are billed too, and what changed in an outage is to be in force
/// two seconds after it.
const PROBE_INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(800));
/// Pause after which one that waits asks the gate again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Lets all calls pass while a service answers, and one at a time while it does not.
///
/// Each of several tasks that watch the same service would find out for itself that it
/// is away, and go on trying.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    next_probe_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Returns nothing where a call may be made now, else when to ask again.
    ///
    /// Whoever may pass while the service is away looks for all others.
    pub fn try_call(&mut self, now: Instant) -> Option<Instant> {
        if !self.is_open() {
            return None;
        }
        match self.next_probe_at {
            Some(at) if now < at => Some(at.min(now + RECHECK_INTERVAL)),
            _ => {
                self.next_probe_at = Some(now + self.probe_interval());
                None
            }
        }
    }

    /// Notes a call that was answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a call that was turned away or not answered; `draw` in 0..1 spreads the
    /// next looks of different processes.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.is_open() {
            let pause = self.probe_interval().mul_f64(0.75 + 0.5 * jitter);
            self.next_probe_at = Some(now + pause);
        }
    }

    /// Tells whether the service counts as away.
    pub fn is_open(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    fn probe_interval(&self) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(4);
        (PROBE_INTERVAL_RANGE.0 * 2_u32.pow(doublings)).min(PROBE_INTERVAL_RANGE.1)
    }
}
