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
}

impl SendLog {
    /// Returns the number of requests sent to `endpoint` in the last `window`, which must not
    /// exceed [`SEND_RETENTION`].
    pub fn count_within(&self, endpoint: &str, window: Duration, now: Instant) -> usize {
        let Some(sends) = self.sends.get(endpoint) else {
            return 0;
        };
        let recent = sends.iter().rev().take_while(|at| now < **at + window);
        recent.count()
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
