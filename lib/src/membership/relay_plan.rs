//! Selection of the routers that watch the platform's store for the others.

use std::collections::BTreeSet;

use super::RouterEntry;
use super::RouterList;
use super::home_table::rendezvous_score;
use crate::ids::ZoneId;

/// Number of routers per availability zone that watch the store.
pub const RELAYS_PER_ZONE: usize = 2;

/// Number of routers per availability zone that vote on whether the store is
/// unavailable.
pub const VOTERS_PER_ZONE: usize = 4;

/// Selects the relays of each zone from the agreed list of routers.
///
/// The store counts a pending watch as a call, so only the relays watch. The
/// other routers query the relays for versions and read a value from the store
/// when it has changed.
#[derive(Clone, Copy, Debug)]
pub struct RelayPlan<'a> {
    list: &'a RouterList,
}

impl<'a> RelayPlan<'a> {
    /// Creates a plan for the routers in `list`.
    pub fn new(list: &'a RouterList) -> Self {
        Self { list }
    }

    /// Returns the relays of `zone`.
    pub fn relays(&self, zone: &str) -> Vec<&'a RouterEntry> {
        let mut relays = self.ranked(zone);
        relays.truncate(RELAYS_PER_ZONE);
        relays
    }

    /// Returns the routers of all zones that vote on whether the store is unavailable.
    ///
    /// These are all routers of a small fleet, and a few of each zone, including
    /// its relays, in a large one.
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

    /// Returns whether `router`, which is in `zone`, watches the store itself.
    ///
    /// A router that is not on the list yet has no relay to query and watches too.
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
