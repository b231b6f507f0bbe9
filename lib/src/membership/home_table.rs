//! Assignment of targets and claim shards to their home routers.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RouterEntry;
use super::RouterList;
use crate::ids::RouterId;

/// Chooses homes by rendezvous hashing over the agreed list of routers.
///
/// Routers in the key's availability zone rank before all others, so that
/// polls stay inside the zone.
#[derive(Clone, Copy, Debug)]
pub struct HomeTable<'a> {
    list: &'a RouterList,
}

impl<'a> HomeTable<'a> {
    /// Creates a table of the routers in `list`.
    pub fn new(list: &'a RouterList) -> Self {
        Self { list }
    }

    /// Returns the home of `key`. Pass an empty `zone` for a key without a zone.
    pub fn home(&self, key: &str, zone: &str) -> Option<&'a RouterEntry> {
        self.highest_ranked(key, zone, None)
    }

    /// Returns the standby of the home of `key`: the router with the second-highest rank.
    pub fn standby(&self, key: &str, zone: &str) -> Option<&'a RouterEntry> {
        let home = self.home(key, zone)?;
        self.highest_ranked(key, zone, Some(&home.router))
    }

    /// Returns the number of routers that rank before `router` for `key`, or
    /// `None` when `router` is not on the list.
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
            // Skips hashing a router of another zone once one of this zone is found.
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

/// Returns the rendezvous weight of `node` for `key`; the highest weight wins.
pub(crate) fn rendezvous_score(node: &str, key: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}
