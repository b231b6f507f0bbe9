//! Which routers watch the platform's store on behalf of the others.

use std::collections::BTreeSet;

use super::RouterEntry;
use super::RouterList;
use super::home_table::rendezvous_score;
use crate::ids::ZoneId;

/// Routers of each availability zone that watch the store.
pub const RELAYS_PER_ZONE: usize = 2;

/// Routers of each availability zone whose word counts on whether the store is out.
pub const VOTERS_PER_ZONE: usize = 4;

/// Chooses the relays of each zone from the agreed list of routers.
///
/// A waiting watch counts as a call of the store, so only the relays watch;
/// the others ask them for versions and read a value when it has changed.
#[derive(Clone, Copy, Debug)]
pub struct RelayPlan<'a> {
    list: &'a RouterList,
}

impl<'a> RelayPlan<'a> {
    /// Prepares look-ups over `list`.
    pub fn new(list: &'a RouterList) -> Self {
        Self { list }
    }

    /// Returns the relays of `zone`.
    pub fn relays(&self, zone: &str) -> Vec<&'a RouterEntry> {
        let mut relays = self.ranked(zone);
        relays.truncate(RELAYS_PER_ZONE);
        relays
    }

    /// Returns the routers of all zones that vote on whether the store is out.
    ///
    /// In a small fleet these are all routers; in a large one a few of each
    /// zone, the relays among them.
    pub fn voters(&self) -> Vec<&'a RouterEntry> {
        let zones: BTreeSet<&ZoneId> = self
            .list
            .routers
            .values()
            .map(|entry| &entry.zone)
            .collect();
        let mut voters = Vec::new();
        for zone in zones {
            voters.extend(self.ranked(zone).into_iter().take(VOTERS_PER_ZONE));
        }
        voters
    }

    /// Tells whether `router`, which stands in `zone`, watches the store itself.
    ///
    /// A router that is not on the list yet has nobody to ask and watches too.
    pub fn is_relay(&self, router: &str, zone: &str) -> bool {
        if !self.list.routers.contains_key(router) {
            return true;
        }
        self.relays(zone).iter().any(|entry| entry.router == router)
    }

    fn ranked(&self, zone: &str) -> Vec<&'a RouterEntry> {
        let routers = self.list.routers.values();
        let mut ranked: Vec<&RouterEntry> = routers.filter(|entry| entry.zone == zone).collect();
        ranked.sort_by_key(|entry| std::cmp::Reverse(rendezvous_score(&entry.router, "relay")));
        ranked
    }
}
