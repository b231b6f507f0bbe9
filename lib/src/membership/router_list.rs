//! The list of routers that all routers agree on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::RouterEntry;
use crate::ids::Epoch;
use crate::ids::Nonce;
use crate::ids::RouterId;

/// The list of routers, stored as one value in the platform's store.
///
/// Homes are computed from this list alone, never from local failure detection,
/// so that all routers with the same list compute the same homes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterList {
    /// Incremented by each change.
    pub epoch: Epoch,
    /// Random number by which a writer recognizes its own write when the result of the
    /// write is unknown.
    pub nonce: Nonce,
    /// Routers by name.
    pub routers: BTreeMap<RouterId, RouterEntry>,
}

impl RouterList {
    /// Returns the list with `entry` added, or `None` if it already contains it.
    pub fn with_router(&self, entry: &RouterEntry, nonce: Nonce) -> Option<Self> {
        if self.routers.get(&entry.router) == Some(entry) {
            return None;
        }
        let mut routers = self.routers.clone();
        routers.insert(entry.router.clone(), entry.clone());
        Some(Self {
            epoch: self.epoch + 1,
            nonce,
            routers,
        })
    }

    /// Returns the list without the routers in `removed`, or `None` if it has none of them.
    pub fn without_routers(&self, removed: &BTreeSet<RouterId>, nonce: Nonce) -> Option<Self> {
        let mut routers = self.routers.clone();
        routers.retain(|router, _| !removed.contains(router));
        if routers.len() == self.routers.len() {
            return None;
        }
        Some(Self {
            epoch: self.epoch + 1,
            nonce,
            routers,
        })
    }
}
