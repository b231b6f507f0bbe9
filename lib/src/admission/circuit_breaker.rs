//! Circuit breaker for calls to a service that does not respond.

use std::time::Duration;
use std::time::Instant;

/// Consecutive failures, over all kinds of calls, that open the breaker.
const FAILURE_THRESHOLD: u32 = 2;
/// Initial and maximum interval between probe calls. The service also bills rejected calls,
/// and changes made during an outage must take effect within two seconds of its end.
const PROBE_INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(800));
/// Interval at which a blocked caller checks the breaker again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Allows all calls while the service responds, and only periodic probe calls while it
/// does not.
///
/// The breaker is shared by all tasks that call the service. Without it, each task would
/// have to detect the outage itself and would keep retrying.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    next_probe_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Returns `None` if a call may be made now, else the time of the next check.
    ///
    /// A caller that is let through while the breaker is open makes the probe call on
    /// behalf of all others.
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

    /// Records a successful call, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a call that was rejected or not answered; `jitter` in 0..1 spreads the next
    /// probes of different processes.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.is_open() {
            let delay = self.probe_interval().mul_f64(0.75 + 0.5 * jitter);
            self.next_probe_at = Some(now + delay);
        }
    }

    /// Returns whether the breaker is open.
    pub fn is_open(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    fn probe_interval(&self) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(4);
        (PROBE_INTERVAL_RANGE.0 * 2_u32.pow(doublings)).min(PROBE_INTERVAL_RANGE.1)
    }
}
