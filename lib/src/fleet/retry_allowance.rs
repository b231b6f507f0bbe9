//! This router's share of the fleet-wide retry limit.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// Fraction of the allowance that is used. The margin keeps the sum within the limit
/// even though others count the same requests at slightly different times.
const SAFETY_FACTOR: f64 = 0.85;

/// Allows retries in a sliding window: a ratio of the requests in it, plus an equal share
/// of a fixed number that all routers divide.
///
/// Each router counts only its own requests, so the sum over all routers stays within
/// the limit even when messages between them are lost.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    window_ms: Milliseconds,
    ratio: f64,
    fixed: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Allows `ratio` of the requests in `window_ms`, plus `fixed` shared by all routers.
    pub fn new(window_ms: Milliseconds, ratio: f64, fixed: f64) -> Self {
        Self {
            window_ms,
            ratio,
            fixed,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request of a caller.
    pub fn observe_request(&mut self, now: Instant) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes one retry if allowed; `routers` is the number of routers that share the limit.
    pub fn try_take(&mut self, routers: usize, now: Instant) -> bool {
        if self.remaining(routers, now) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the number of retries left in the current window.
    pub fn remaining(&mut self, routers: usize, now: Instant) -> f64 {
        self.prune(now);
        let earned = self.ratio * self.requests.len() as f64;
        let share = self.fixed / routers.max(1) as f64;
        SAFETY_FACTOR * (earned + share) - self.retries.len() as f64
    }

    fn prune(&mut self, now: Instant) {
        let window = Duration::from_millis(self.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time + window <= now) {
                times.pop_front();
            }
        }
    }
}
