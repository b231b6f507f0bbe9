//! Divides fleet-wide limits among the known routers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Milliseconds;
use crate::ids::RouterId;

/// Time after the first read of the router list by which all running routers are in it:
/// they renew every 0.6 s and a call takes up to 0.9 s.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Router count assumed until the list is known. The largest supported fleet has 380.
const ASSUMED_ROUTER_COUNT: usize = 400;

/// Counts the routers and computes this router's share of a fleet-wide limit.
///
/// A router that has left the list may already have used its share of the current
/// window, or still use it while partitioned, so it counts for another window.
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
    CountedUntil(Instant),
}

impl QuotaDivider {
    /// Creates a divider that knows no other routers; removed ones count for `retention_ms`.
    pub fn new(own: RouterId, retention_ms: Milliseconds) -> Self {
        Self {
            own,
            retention_ms,
            others: BTreeMap::new(),
            settles_at: None,
        }
    }

    /// Records a full read of the list; the first one starts the settling time.
    pub fn list_read(&mut self, now: Instant) {
        self.settles_at.get_or_insert(now + LIST_SETTLE_TIME);
    }

    /// Adds a router that is in the list.
    pub fn add(&mut self, router: &RouterId) {
        if *router != self.own {
            self.others.insert(router.clone(), Presence::Listed);
        }
    }

    /// Records that a router has left the list; it still counts for the retention time.
    pub fn remove(&mut self, router: &str, now: Instant) {
        if let Some(presence) = self.others.get_mut(router) {
            *presence = Presence::CountedUntil(now + Duration::from_millis(self.retention_ms));
        }
    }

    /// Returns whether the number of routers is known.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.settles_at.is_some_and(|at| at <= now)
    }

    /// Returns the number of routers that count, including this one.
    pub fn router_count(&self, now: Instant) -> usize {
        if !self.is_settled(now) {
            return ASSUMED_ROUTER_COUNT;
        }
        1 + self.counted_routers(now).count()
    }

    /// Returns how many requests this router may send to `endpoint` in some time, out of
    /// `total` for all routers.
    ///
    /// The shares of all routers add up to `total`, rounded down. Rendezvous hashing
    /// assigns the remainder, so different routers get it for different endpoints.
    pub fn share_of(&self, endpoint: &str, total: f64, now: Instant) -> u32 {
        if !self.is_settled(now) {
            return 0;
        }
        let total = total.max(0.0) as usize;
        let count = self.router_count(now);
        let gets_remainder = self.rank_for(endpoint, now) < total % count;
        let share = total / count + usize::from(gets_remainder);
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the number of known routers before this one in the order by rendezvous hash for
    /// `endpoint`.
    pub fn rank_for(&self, endpoint: &str, now: Instant) -> usize {
        let seed = xxh3_64_with_seed(endpoint.as_bytes(), 0);
        let hash = |router: &RouterId| xxh3_64_with_seed(router.as_bytes(), seed);
        let own = hash(&self.own);
        let ahead = self
            .counted_routers(now)
            .filter(|other| (hash(other), *other) < (own, &self.own));
        ahead.count()
    }

    fn counted_routers(&self, now: Instant) -> impl Iterator<Item = &RouterId> {
        let others = self.others.iter();
        others.filter_map(move |(id, presence)| match presence {
            Presence::Listed => Some(id),
            Presence::CountedUntil(until) => (now < *until).then_some(id),
        })
    }
}
