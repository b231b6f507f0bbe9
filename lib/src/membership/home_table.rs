//! Which router is home to which target or claim shard.

use xxhash_rust::xxh3::xxh3_64;

use super::RouterEntry;
use super::RouterList;

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
        self.ranked(key, zone).into_iter().next()
    }

    /// Returns the router that stands in for the home of `key`.
    pub fn standby(&self, key: &str, zone: &str) -> Option<&'a RouterEntry> {
        self.ranked(key, zone).into_iter().nth(1)
    }

    fn ranked(&self, key: &str, zone: &str) -> Vec<&'a RouterEntry> {
        let mut routers: Vec<&RouterEntry> = self.list.routers.values().collect();
        routers.sort_by_key(|entry| {
            let score = rendezvous_score(&entry.router, key);
            (entry.zone != zone, std::cmp::Reverse(score))
        });
        routers
    }
}

/// Returns the weight of `key` at `node`; the highest weight wins.
pub(crate) fn rendezvous_score(node: &str, key: &str) -> u64 {
    let mut bytes = Vec::with_capacity(node.len() + key.len() + 1);
    bytes.extend_from_slice(node.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    xxh3_64(&bytes)
}
