//! The share of a router in the retries that all routers may send.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Milliseconds;

/// Part of the allowance that is used, so that requests counted at slightly
/// different times elsewhere never push the sum over the limit.
const SAFETY_FACTOR: f64 = 0.85;

/// Allows in each window a part of the requests of that window, and a share of
/// a fixed amount that is divided between the routers.
///
/// Each router counts its own requests only, so the sum over all routers keeps
/// the limit whatever messages between them are lost.
#[derive(Clone, Debug)]
pub struct RetryAllowance {
    window_ms: Milliseconds,
    ratio: f64,
    fixed: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryAllowance {
    /// Allows `ratio` of the requests in `window_ms`, and `fixed` more over all routers.
    pub fn new(window_ms: Milliseconds, ratio: f64, fixed: f64) -> Self {
        Self {
            window_ms,
            ratio,
            fixed,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn observe_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one retry; `routers` is the number of routers that may send any.
    pub fn try_take(&mut self, routers: usize, now: Instant) -> bool {
        if self.remaining(routers, now) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retries that are left in the current window.
    pub fn remaining(&mut self, routers: usize, now: Instant) -> f64 {
        self.forget(now);
        let earned = self.ratio * self.requests.len() as f64;
        let share = self.fixed / routers.max(1) as f64;
        SAFETY_FACTOR * (earned + share) - self.retries.len() as f64
    }

    fn forget(&mut self, now: Instant) {
        let window = Duration::from_millis(self.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time + window <= now) {
                times.pop_front();
            }
        }
    }
}
