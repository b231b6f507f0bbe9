//! The routers that share what all of them together may spend.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Milliseconds;
use crate::ids::RouterId;

/// Time after the first read of the list in which routers that live have entered it:
/// a renewal each 0.6 s and a call of up to 0.9 s.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Routers that are assumed while nothing is known of them; the largest fleet that
/// the system is designed for has 380.
const ASSUMED_ROUTER_COUNT: usize = 400;

/// Knows how many routers there are, and which of them serve what few may.
///
/// A router that has left the list may have spent its share of the current window,
/// or be cut off and still spend it, so it counts for as long as a window.
#[derive(Clone, Debug)]
pub struct QuotaDivider {
    own: RouterId,
    retention_ms: Milliseconds,
    others: BTreeMap<RouterId, Presence>,
    settles_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Listed,
    GoneUntil(Instant),
}

impl QuotaDivider {
    /// Starts without news; routers that have gone count for `memory_ms`.
    pub fn new(own: RouterId, retention_ms: Milliseconds) -> Self {
        Self {
            own,
            retention_ms,
            others: BTreeMap::new(),
            settles_at: None,
        }
    }

    /// Notes that the list has been read in full.
    pub fn list_read(&mut self, now: Instant) {
        self.settles_at.get_or_insert(now + LIST_SETTLE_TIME);
    }

    /// Notes a router in the list.
    pub fn observe(&mut self, router: &RouterId) {
        if *router != self.own {
            self.others.insert(router.clone(), Presence::Listed);
        }
    }

    /// Notes that a router has left the list.
    pub fn forget(&mut self, router: &str, now: Instant) {
        if let Some(presence) = self.others.get_mut(router) {
            *presence = Presence::GoneUntil(now + Duration::from_millis(self.retention_ms));
        }
    }

    /// Returns the number of routers, this one included.
    pub fn router_count(&self, now: Instant) -> usize {
        if self.settles_at.is_none_or(|at| now < at) {
            return ASSUMED_ROUTER_COUNT;
        }
        1 + self.counted(now).count()
    }

    /// Returns how many of `per_second` requests this router may send to `endpoint`.
    ///
    /// The shares of all routers add up to `per_second`. Where there are more routers
    /// than requests, each endpoint has others that serve it.
    pub fn share_of(&self, endpoint: &str, per_second: f64, now: Instant) -> u32 {
        if self.settles_at.is_none_or(|at| now < at) {
            return 0;
        }
        let rate = per_second.max(0.0) as usize;
        let count = self.router_count(now);
        let own = rendezvous_rank(endpoint, &self.own);
        let ahead = self
            .counted(now)
            .filter(|other| (rendezvous_rank(endpoint, other), *other) < (own, &self.own));
        let has_rest = ahead.count() < rate % count;
        (rate / count + usize::from(has_rest)) as u32
    }

    fn counted(&self, now: Instant) -> impl Iterator<Item = &RouterId> {
        let others = self.others.iter();
        others.filter_map(move |(id, presence)| match presence {
            Presence::Listed => Some(id),
            Presence::GoneUntil(until) => (now < *until).then_some(id),
        })
    }
}

/// Returns the place of a router in the order in which routers serve an endpoint.
fn rendezvous_rank(endpoint: &str, router: &str) -> u64 {
    let seed = xxh3_64_with_seed(endpoint.as_bytes(), 0);
    xxh3_64_with_seed(router.as_bytes(), seed)
}
