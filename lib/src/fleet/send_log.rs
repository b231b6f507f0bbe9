//! Send times of this router's recent requests to each endpoint.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EndpointId;

/// Time for which sends are kept.
const SEND_RETENTION: Duration = Duration::from_secs(11);

/// Send times by endpoint.
#[derive(Clone, Debug, Default)]
pub struct SendLog {
    sends: HashMap<EndpointId, VecDeque<Instant>>,
    /// Number of requests that are about to be sent.
    reserved: HashMap<EndpointId, usize>,
}

impl SendLog {
    /// Returns when fewer than `share` requests have been sent to `endpoint` in the last `window`,
    /// which must not exceed [`SEND_RETENTION`]; `None` if `share` is 0. Requests that are reserved
    /// count as sent now.
    pub fn room_at(
        &self,
        endpoint: &str,
        share: u32,
        window: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let index = share.checked_sub(1)? as usize;
        let reserved = self.reserved.get(endpoint).copied().unwrap_or_default();
        let Some(index) = index.checked_sub(reserved) else {
            return Some(now + window);
        };
        let sends = self.sends.get(endpoint);
        let last = sends.and_then(|sends| sends.iter().rev().nth(index));
        Some(last.map_or(now, |last| now.max(*last + window)))
    }

    /// Records a request that will be sent to `endpoint` or [cancelled](Self::cancel).
    pub fn reserve(&mut self, endpoint: &EndpointId) {
        *self.reserved.entry(endpoint.clone()).or_default() += 1;
    }

    /// Records that a reserved request is not sent, or is sent just now.
    pub fn cancel(&mut self, endpoint: &str) {
        let Some(reserved) = self.reserved.get_mut(endpoint) else {
            return;
        };
        *reserved = reserved.saturating_sub(1);
        if *reserved == 0 {
            self.reserved.remove(endpoint);
        }
    }

    /// Returns how many requests have been sent to `endpoint` since `since`, at most those of
    /// the last [`SEND_RETENTION`].
    pub fn count_since(&self, endpoint: &str, since: Instant) -> usize {
        let sends = self.sends.get(endpoint).into_iter().flatten();
        sends.filter(|at| **at >= since).count()
    }

    /// Records a request that is sent to `endpoint`.
    pub fn record(&mut self, endpoint: &EndpointId, now: Instant) {
        let sends = self.sends.entry(endpoint.clone()).or_default();
        sends.push_back(now);
        while sends.front().is_some_and(|at| *at + SEND_RETENTION <= now) {
            sends.pop_front();
        }
    }

    /// Removes endpoints without recent requests.
    pub fn prune(&mut self, now: Instant) {
        self.sends.retain(|_, sends| {
            sends
                .back()
                .is_some_and(|last| now < *last + SEND_RETENTION)
        });
    }
}
