//! Picks the target with the shortest expected time to the first event.

use std::time::Instant;

use super::EndpointLoad;
use super::LoadTable;
use super::ServingTarget;

/// Penalty on targets in other zones. Traffic between zones is billed, and a round trip
/// takes up to 3 ms.
const CROSS_ZONE_PENALTY_MS: f64 = 12.0;
/// Upper bound of a random delay that is added to each estimate. It keeps routers with the
/// same load data from all picking the same target.
const JITTER_MS: f64 = 10.0;

/// Picks among the targets of one pool.
pub struct TargetPicker<'a> {
    /// Load of the endpoints.
    pub loads: &'a LoadTable,
    /// Availability zone of this router.
    pub zone: &'a str,
    /// Returns whether a target must not be picked.
    pub avoided: &'a dyn Fn(&ServingTarget) -> bool,
    /// Returns how many requests a target may have in progress over all routers.
    pub bound: &'a dyn Fn(&ServingTarget) -> u32,
    /// Number of requests beyond its bound that a target may queue.
    pub queue_limit: u32,
    /// Current time.
    pub now: Instant,
}

impl TargetPicker<'_> {
    /// Returns the best target, or `None` if none is free; `random` returns numbers in
    /// `0..1`.
    pub fn pick<'t>(
        &self,
        targets: &'t [ServingTarget],
        mut random: impl FnMut() -> f64,
    ) -> Option<&'t ServingTarget> {
        let mut best: Option<(f64, &ServingTarget)> = None;
        for target in targets {
            let load = self.load(target);
            let bound = (self.bound)(target).saturating_add(self.queue_limit);
            if load.requests >= bound || (self.avoided)(target) {
                continue;
            }
            let mut delay = first_event_ms(target, load) + JITTER_MS * random();
            if target.zone != self.zone {
                delay += CROSS_ZONE_PENALTY_MS;
            }
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, target));
            }
        }
        best.map(|(_, target)| target)
    }

    /// Returns the load of a target over all routers.
    pub fn load(&self, target: &ServingTarget) -> EndpointLoad {
        self.loads
            .total(&target.endpoint, target.prefill_ms_per_token, self.now)
    }
}

/// Estimates the time until the first event of one more request, in milliseconds.
fn first_event_ms(target: &ServingTarget, load: EndpointLoad) -> f64 {
    let prefill_ms = f64::from(load.pending_prefill_tokens) * target.prefill_ms_per_token;
    let interval_ms =
        target.event_interval_ms + f64::from(load.requests) * target.event_interval_ms_per_request;
    prefill_ms + interval_ms
}
