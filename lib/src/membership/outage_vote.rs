//! Tells an outage of the store from a partition of this router.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RouterList;
use super::VIEW_VALID_MS;
use super::VersionVector;
use crate::ids::RouterId;

/// What a peer says about the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerVote {
    /// Whether the peer has heard from the store lately, itself or by a relay.
    pub reaches_store: bool,
    /// Versions that the peer holds.
    pub held: VersionVector,
}

/// Collects the votes of the routers on the agreed list.
///
/// The store counts as out while more than half of the list, this router
/// included, has answered lately that it cannot reach it, nobody has answered
/// that it can, and nobody holds a newer record.
#[derive(Clone, Debug, Default)]
pub struct OutageVote {
    votes: BTreeMap<RouterId, (PeerVote, Instant)>,
}

impl OutageVote {
    /// Takes the answer of `router` to a question that was sent at `asked_at`.
    pub fn record(&mut self, router: RouterId, vote: PeerVote, asked_at: Instant) {
        let until = asked_at + Duration::from_millis(VIEW_VALID_MS);
        let known = self.votes.get(&router);
        if known.is_some_and(|(_, known_until)| *known_until > until) {
            return;
        }
        self.votes.insert(router, (vote, until));
    }

    /// Returns until when the store counts as out, or nothing when it does not.
    pub fn outage_until(
        &self,
        list: &RouterList,
        own: &RouterId,
        held: &VersionVector,
        now: Instant,
    ) -> Option<Instant> {
        let mut deadlines = Vec::new();
        for router in list.routers.keys() {
            if router == own {
                continue;
            }
            let Some((vote, until)) = self.votes.get(router) else {
                continue;
            };
            if now >= *until {
                continue;
            }
            if vote.reaches_store || held.is_behind(&vote.held) {
                return None;
            }
            deadlines.push(*until);
        }
        let needed = list.routers.len() / 2;
        if needed == 0 {
            let is_alone = list.routers.contains_key(own);
            return is_alone.then(|| now + Duration::from_millis(VIEW_VALID_MS));
        }
        deadlines.sort_by(|left, right| right.cmp(left));
        deadlines.get(needed - 1).copied()
    }
}
