//! Limits the request rate to endpoints that have just started.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EndpointId;

/// Window of the rate limit. It exceeds one second because requests sent more than a second
/// apart may arrive within one second when the earlier ones take longer in transit.
const RATE_WINDOW: Duration = Duration::from_millis(1_050);

/// Send times of this router's recent requests to cold endpoints.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sends: HashMap<EndpointId, VecDeque<Instant>>,
}

impl ColdStartLimiter {
    /// Returns whether another request stays within `share` requests per second.
    pub fn has_capacity(&self, endpoint: &EndpointId, share: u32, now: Instant) -> bool {
        let sends = self.sends.get(endpoint).into_iter().flatten();
        let recent = sends.filter(|at| now < **at + RATE_WINDOW);
        recent.count() < share as usize
    }

    /// Records a request that is sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &EndpointId, now: Instant) {
        self.sends.retain(|_, sends| {
            while sends.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
                sends.pop_front();
            }
            !sends.is_empty()
        });
        self.sends
            .entry(endpoint.clone())
            .or_default()
            .push_back(now);
    }
}
