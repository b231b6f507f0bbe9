//! Distinguishes an outage of the store from a partition of this router.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RelayPlan;
use super::RouterList;
use super::VersionVector;
use crate::ids::Milliseconds;
use crate::ids::RouterId;

/// Validity of a vote, counted from when it was requested.
pub const VOTE_VALID_MS: Milliseconds = 1_500;

/// A peer's report on whether it can reach the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerVote {
    /// Whether the peer has recently heard from the store, directly or through a relay.
    pub reaches_store: bool,
    /// Versions that the peer holds.
    pub held: VersionVector,
}

/// Tallies the votes of the voting routers.
///
/// The store counts as unavailable while more than half of the voters have
/// recently reported that they cannot reach it, including this router if it is
/// a voter, no voter has reported that it can, and no voter holds a newer
/// record.
#[derive(Clone, Debug, Default)]
pub struct OutageTally {
    votes: BTreeMap<RouterId, ExpiringVote>,
}

#[derive(Clone, Debug)]
struct ExpiringVote {
    vote: PeerVote,
    expires_at: Instant,
}

impl OutageTally {
    /// Records the vote of `router`, which was requested at `asked_at`.
    pub fn record(&mut self, router: RouterId, vote: PeerVote, asked_at: Instant) {
        let expires_at = asked_at + Duration::from_millis(VOTE_VALID_MS);
        let current = self.votes.get(&router);
        if current.is_some_and(|current| current.expires_at > expires_at) {
            return;
        }
        self.votes.insert(router, ExpiringVote { vote, expires_at });
    }

    /// Returns until when the store counts as unavailable, or `None` if it does not.
    ///
    /// Must be called only while this router itself cannot reach the store.
    pub fn outage_until(
        &self,
        list: &RouterList,
        own: &RouterId,
        held: &VersionVector,
        now: Instant,
    ) -> Option<Instant> {
        let voters = RelayPlan::new(list).voters();
        let own_expires_at = now + Duration::from_millis(VOTE_VALID_MS);
        let mut expiries = Vec::new();
        for voter in &voters {
            if voter.router == *own {
                expiries.push(own_expires_at);
                continue;
            }
            let Some(expiring) = self
                .votes
                .get(&voter.router)
                .filter(|expiring| now < expiring.expires_at)
            else {
                continue;
            };
            if expiring.vote.reaches_store || held.is_behind(&expiring.vote.held) {
                return None;
            }
            expiries.push(expiring.expires_at);
        }
        let needed = voters.len() / 2 + 1;
        expiries.sort_by(|left, right| right.cmp(left));
        expiries.get(needed - 1).copied()
    }
}
