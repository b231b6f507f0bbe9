//! The list of routers on which all of them agree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::RouterEntry;
use crate::ids::Epoch;
use crate::ids::Nonce;
use crate::ids::RouterId;

/// The routers, as one value in the platform's store.
///
/// Homes are computed from this list alone, never from a guess about who is
/// alive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterList {
    /// Grows by one with each change.
    pub epoch: Epoch,
    /// Drawn by the writer, who finds out by it whether a write took effect.
    pub nonce: Nonce,
    /// Routers by name.
    pub routers: BTreeMap<RouterId, RouterEntry>,
}

impl RouterList {
    /// Returns the list with `entry` in it, or nothing when it is there already.
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

    /// Returns the list without the routers in `removed`, or nothing when none is in it.
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
