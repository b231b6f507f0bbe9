//! When a stopping process leaves rotation and when it exits.

use std::time::Duration;
use std::time::Instant;

/// Time for which a stopping router still accepts connections: the load balancer
/// checks readiness once a second and removes it after two failed checks.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_500);
/// Margin before the end of the grace period at which the process exits by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// The schedule of a stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopPlan {
    /// When the process closes its connections, except those with requests in progress.
    pub(crate) leaves_at: Instant,
    /// When the process exits, whatever is in progress then.
    pub(crate) exits_at: Instant,
}

impl StopPlan {
    /// Creates the plan for a stop that was requested at `requested_at`.
    pub(crate) fn new(requested_at: Instant, grace: Duration) -> Self {
        let exits_at = requested_at + grace - GRACE_MARGIN;
        Self {
            leaves_at: exits_at.min(requested_at + BALANCER_NOTICE_TIME),
            exits_at,
        }
    }

    /// Returns whether a request may still be begun at `now`. One that arrives late is begun
    /// only if its `deadline` ends it before the process exits.
    pub(crate) fn may_begin(&self, deadline: Instant, now: Instant) -> bool {
        now < self.leaves_at || deadline <= self.exits_at
    }
}
