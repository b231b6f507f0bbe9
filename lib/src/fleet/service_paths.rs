//! The paths of this router to the endpoints of one service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::EndpointId;

/// Endpoints that have to fail before the path may be lost; one alone is more likely to be lost
/// itself.
const MIN_FAILED: usize = 2;
/// Time for which a failure counts.
const FAILURE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time from the first failure until the path counts as lost. Streams of sound endpoints bring
/// events meanwhile.
const SILENCE_TIME: Duration = Duration::from_millis(60);
/// The same if only new connections fail, which are rarer than events.
const CONNECT_TIME: Duration = Duration::from_millis(200);
/// Number of failed endpoints for each one that is reached, above which the path counts as lost.
const FAILED_PER_REACHED: usize = 2;
/// Span in which trials decide whether the path is back.
const TRIAL_SPAN: Duration = Duration::from_millis(450);

/// What was last seen of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct EndpointSigns {
    /// Since when it has failed, until a new connection is opened.
    failed_since: Option<Instant>,
    failed_at: Option<Instant>,
    contact_at: Option<Instant>,
    connected_at: Option<Instant>,
}

/// The paths of this router to the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServicePaths {
    endpoints: HashMap<EndpointId, EndpointSigns>,
    last_contact_at: Option<Instant>,
    severed_at: Option<Instant>,
}

impl ServicePaths {
    pub(super) fn observe_contact(
        &mut self,
        endpoint: &EndpointId,
        connected_at: Option<Instant>,
        now: Instant,
    ) {
        self.last_contact_at = Some(now);
        let signs = self.endpoints.entry(endpoint.clone()).or_default();
        signs.contact_at = Some(now);
        signs.connected_at = signs.connected_at.max(connected_at);
        // An old connection may live on while new ones are refused.
        if signs.connected_at >= signs.failed_at {
            signs.failed_since = None;
        }
    }

    pub(super) fn observe_failure(&mut self, endpoint: &EndpointId, now: Instant) {
        let signs = self.endpoints.entry(endpoint.clone()).or_default();
        signs.failed_since.get_or_insert(now);
        signs.failed_at = Some(now);
        if self.severed_at.is_none() {
            self.prune(now);
        }
    }

    pub(super) fn last_contact_at(&self) -> Option<Instant> {
        self.last_contact_at
    }

    pub(super) fn severed_at(&self) -> Option<Instant> {
        self.severed_at
    }

    /// Draws the conclusion from what was seen until `now`; returns whether the path is lost.
    pub(super) fn review(&mut self, now: Instant) -> bool {
        let is_severed = match self.severed_at {
            None => self.is_lost(now),
            Some(_) => !self.is_back(now),
        };
        match (is_severed, self.severed_at) {
            (true, None) => self.severed_at = Some(now),
            (false, Some(_)) => {
                self.severed_at = None;
                // What failed meanwhile failed for want of a path.
                self.endpoints.clear();
            }
            _ => {}
        }
        is_severed
    }

    /// Returns whether failures outweigh contact, however short the time since the first one.
    pub(super) fn is_doubtful(&self, now: Instant) -> bool {
        self.severed_at.is_some() || self.outweighs(now, Duration::ZERO, |signs| signs.contact_at)
    }

    fn is_lost(&self, now: Instant) -> bool {
        self.outweighs(now, SILENCE_TIME, |signs| signs.contact_at)
            || self.outweighs(now, CONNECT_TIME, |signs| signs.connected_at)
    }

    /// Returns whether far more endpoints have begun to fail, `span` ago or earlier, than were
    /// reached since, as `reached_at` tells.
    ///
    /// Endpoints that failed long before the others count only if they, too, outweigh what was
    /// reached since.
    fn outweighs(
        &self,
        now: Instant,
        span: Duration,
        reached_at: fn(&EndpointSigns) -> Option<Instant>,
    ) -> bool {
        let failing = self.endpoints.values().filter_map(|signs| {
            let is_recent = signs
                .failed_at
                .is_some_and(|at| now < at + FAILURE_LIFETIME);
            signs.failed_since.filter(|_| is_recent)
        });
        let mut beginnings: Vec<Instant> = failing.collect();
        beginnings.sort_unstable_by(|left, right| right.cmp(left));
        for (index, beginning) in beginnings.iter().enumerate() {
            let failed = index + 1;
            if failed < MIN_FAILED || now < *beginning + span {
                continue;
            }
            let reached = self.endpoints.values().filter(|signs| {
                signs.failed_since.is_none() && reached_at(signs).is_some_and(|at| at > *beginning)
            });
            if failed > FAILED_PER_REACHED * reached.count() {
                return true;
            }
        }
        false
    }

    /// Returns whether the trials of the last [`TRIAL_SPAN`] reach most endpoints.
    fn is_back(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now < at + TRIAL_SPAN);
        let signs = || self.endpoints.values();
        let reached = signs()
            .filter(|signs| signs.failed_since.is_none() && is_recent(signs.connected_at))
            .count();
        let failed = signs()
            .filter(|signs| signs.failed_since.is_some() && is_recent(signs.failed_at))
            .count();
        let is_silent = signs().all(|signs| !is_recent(signs.failed_at));
        reached > FAILED_PER_REACHED * failed || (reached == 0 && is_silent && self.is_stale(now))
    }

    /// Returns whether no failure has been seen for so long that the verdict has no ground left.
    fn is_stale(&self, now: Instant) -> bool {
        let failures = self.endpoints.values().filter_map(|signs| signs.failed_at);
        failures.max().is_none_or(|at| now >= at + FAILURE_LIFETIME)
    }

    fn prune(&mut self, now: Instant) {
        self.endpoints.retain(|_, signs| {
            let seen_at = signs.failed_at.max(signs.contact_at);
            seen_at.is_some_and(|at| now < at + 2 * FAILURE_LIFETIME)
        });
    }
}
