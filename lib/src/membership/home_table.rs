//! Which router is home to which target or claim shard.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RouterEntry;
use super::RouterList;
use crate::ids::RouterId;

/// Chooses homes by rendezvous hashing over the agreed list of routers.
///
/// Routers of the key's availability zone come before all others, so that
/// polls stay inside the zone.
#[derive(Clone, Copy, Debug)]
pub struct HomeTable<'a> {
    list: &'a RouterList,
}

impl<'a> HomeTable<'a> {
    /// Prepares look-ups over `list`.
    pub fn new(list: &'a RouterList) -> Self {
        Self { list }
    }

    /// Returns the home of `key`, which belongs to `zone` or to none.
    pub fn home(&self, key: &str, zone: &str) -> Option<&'a RouterEntry> {
        self.highest_ranked(key, zone, None)
    }

    /// Returns the router that stands in for the home of `key`.
    pub fn standby(&self, key: &str, zone: &str) -> Option<&'a RouterEntry> {
        let home = self.home(key, zone)?;
        self.highest_ranked(key, zone, Some(&home.router))
    }

    /// Returns how many routers come before `router` for `key`; nothing when it
    /// is not on the list.
    pub fn rank_of(&self, router: &str, key: &str, zone: &str) -> Option<usize> {
        let own = self.list.routers.get(router)?;
        let rank = |entry: &RouterEntry| {
            let score = rendezvous_score(&entry.router, key);
            (entry.zone == zone, score)
        };
        let own_rank = rank(own);
        Some(
            self.list
                .routers
                .values()
                .filter(|entry| rank(entry) > own_rank)
                .count(),
        )
    }

    fn highest_ranked(
        &self,
        key: &str,
        zone: &str,
        excluded: Option<&RouterId>,
    ) -> Option<&'a RouterEntry> {
        let mut best = None;
        let mut best_rank = (false, 0);
        for entry in self.list.routers.values() {
            if Some(&entry.router) == excluded {
                continue;
            }
            let is_in_zone = entry.zone == zone;
            // A far router is weighed only while no near one has been found.
            if !is_in_zone && best_rank.0 {
                continue;
            }
            let rank = (is_in_zone, rendezvous_score(&entry.router, key));
            if best.is_none() || rank > best_rank {
                best = Some(entry);
                best_rank = rank;
            }
        }
        best
    }
}

/// Returns the weight of `key` at `node`; the highest weight wins.
pub(crate) fn rendezvous_score(node: &str, key: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}
