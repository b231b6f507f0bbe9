//! Time from sending a request to the first event of its stream.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::PoolKey;
use crate::ids::Milliseconds;

/// Weight of the newest latency in the moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;
/// Latency assumed before the first measurement, as a fraction of the objective.
const INITIAL_LATENCY_FRACTION: f64 = 0.5;
/// Time reserved for delivery to the caller and for variance around the mean.
const DELIVERY_MARGIN: Duration = Duration::from_millis(0);
/// Multiple of the mean latency after which a first event counts as missing. A prompt of
/// four times the mean length takes about twice the mean latency.
const TIMEOUT_FACTOR: f64 = 2.0;
/// Minimum timeout for a first event; below the shortest objective of 300 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(220);
/// Maximum fraction of the objective that a request may spend waiting for a slot.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Multiple of the mean latency that is assumed for a request that waits. Prompts differ in
/// length, so about half of the requests take longer than the mean.
const USUAL_LATENCY_FACTOR: f64 = 1.25;
/// Largest fraction of the objective that is assumed for the latency of a request that waits.
/// While engines are slow for all, a request that has just arrived does not count as late.
const MAX_LATENCY_FRACTION: f64 = 0.75;

/// Moving averages of the first-event latency by pool.
#[derive(Clone, Debug, Default)]
pub struct FirstEventLatency {
    mean_ms: HashMap<PoolKey, f64>,
}

impl FirstEventLatency {
    /// Records the time from sending a request to its first event.
    pub fn observe(&mut self, pool: &PoolKey, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let mean = self.mean_ms.entry(pool.clone()).or_insert(latency_ms);
        *mean += LATENCY_EWMA_WEIGHT * (latency_ms - *mean);
    }

    /// Returns the time after sending at which a first event counts as missing.
    pub fn first_event_timeout(&self, pool: &PoolKey) -> Duration {
        let mean = self.mean_ms.get(pool).copied().unwrap_or(0.0);
        let timeout = Duration::from_secs_f64(mean * TIMEOUT_FACTOR / 1_000.0);
        timeout.max(MIN_TIMEOUT)
    }

    /// Returns how long a request may wait for a slot and still meet its objective.
    pub fn max_wait(&self, pool: &PoolKey, objective_ms: Milliseconds) -> Duration {
        let objective = Duration::from_millis(objective_ms.max(1));
        let mean = self.mean(pool, objective);
        let wait = objective.saturating_sub(mean + DELIVERY_MARGIN);
        wait.min(objective.mul_f64(MAX_WAIT_FRACTION))
    }

    /// Returns the time from sending a request to its first event that most requests stay below.
    pub fn usual_latency(&self, pool: &PoolKey, objective_ms: Milliseconds) -> Duration {
        let objective = Duration::from_millis(objective_ms.max(1));
        let Some(mean_ms) = self.mean_ms.get(pool) else {
            return objective.mul_f64(INITIAL_LATENCY_FRACTION);
        };
        let usual = Duration::from_secs_f64(mean_ms * USUAL_LATENCY_FACTOR / 1_000.0);
        usual.min(objective.mul_f64(MAX_LATENCY_FRACTION))
    }

    fn mean(&self, pool: &PoolKey, objective: Duration) -> Duration {
        match self.mean_ms.get(pool) {
            Some(mean) => Duration::from_secs_f64(mean / 1_000.0),
            None => objective.mul_f64(INITIAL_LATENCY_FRACTION),
        }
    }
}
