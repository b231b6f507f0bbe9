//! Holds requests to endpoints that have just started to a rate.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EndpointId;

/// Window of the rate, with room for requests that are on their way for longer than
/// those behind them.
const RATE_WINDOW: Duration = Duration::from_millis(1_050);

/// Requests that this router has sent to cold endpoints lately.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    sends: HashMap<EndpointId, VecDeque<Instant>>,
}

impl ColdStartLimiter {
    /// Tells whether one more of `share` requests a second may be sent.
    pub fn has_capacity(&self, endpoint: &EndpointId, share: u32, now: Instant) -> bool {
        let sends = self.sends.get(endpoint).into_iter().flatten();
        let recent = sends.filter(|at| now < **at + RATE_WINDOW);
        recent.count() < share as usize
    }

    /// Notes a request.
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
