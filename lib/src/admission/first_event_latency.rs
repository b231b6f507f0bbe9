//! How long the first event of a stream takes once it has been sent.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::PoolKey;
use crate::ids::Milliseconds;

/// Weight of a new time in the mean.
const LATENCY_WEIGHT: f64 = 0.05;
/// Time that is assumed before any has been seen, as part of the objective.
const INITIAL_SHARE: f64 = 0.5;
/// Time kept back for the way to the caller and the spread of the mean.
const DELIVERY_MARGIN: Duration = Duration::from_millis(0);
/// A first event is missing after this many mean times; a prompt of four times the
/// mean length takes about twice as long.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Least time after which it is; below the shortest objective of 300 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(220);
/// Part of the objective that may be spent on waiting at most.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Mean times by pool.
#[derive(Clone, Debug, Default)]
pub struct FirstEventLatency {
    mean_ms: HashMap<PoolKey, f64>,
}

impl FirstEventLatency {
    /// Notes the time from sending a request to its first event.
    pub fn observe(&mut self, pool: &PoolKey, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.entry(pool.clone()).or_insert(latency_ms);
        *mean += LATENCY_WEIGHT * (latency_ms - *mean);
    }

    /// Returns how long after sending a first event counts as missing.
    pub fn first_event_timeout(&self, pool: &PoolKey) -> Duration {
        let mean = self.mean_ms.get(pool).copied().unwrap_or(0.0);
        let missing = Duration::from_secs_f64(mean * TIMEOUT_FACTOR / 1_000.0);
        missing.max(MIN_TIMEOUT)
    }

    /// Returns how long a request may wait for a slot and still be on time.
    pub fn max_wait(&self, pool: &PoolKey, objective_ms: Milliseconds) -> Duration {
        let objective = Duration::from_millis(objective_ms.max(1));
        let mean = match self.mean_ms.get(pool) {
            Some(mean) => Duration::from_secs_f64(mean / 1_000.0),
            None => objective.mul_f64(INITIAL_SHARE),
        };
        let wait = objective.saturating_sub(mean + DELIVERY_MARGIN);
        wait.min(objective.mul_f64(MAX_WAIT_SHARE))
    }
}
