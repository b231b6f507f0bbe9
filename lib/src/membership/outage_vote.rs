//! Tells an outage of the store from a partition of this router.

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

/// Time for which a vote counts, from when it was asked for.
pub const VOTE_VALID_MS: Milliseconds = 1_500;

/// What a peer says about the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerVote {
    /// Whether the peer has heard from the store lately, itself or by a relay.
    pub reaches_store: bool,
    /// Versions that the peer holds.
    pub held: VersionVector,
}

/// Collects the votes of the routers that have one.
///
/// The store counts as out while more than half of the voters, this router
/// included if it is one, have answered lately that they cannot reach it,
/// nobody has answered that it can, and nobody holds a newer record.
#[derive(Clone, Debug, Default)]
pub struct OutageVote {
    votes: BTreeMap<RouterId, TimedVote>,
}

#[derive(Clone, Debug)]
struct TimedVote {
    vote: PeerVote,
    until: Instant,
}

impl OutageVote {
    /// Takes the answer of `router` to a question that was sent at `asked_at`.
    pub fn record(&mut self, router: RouterId, vote: PeerVote, asked_at: Instant) {
        let until = asked_at + Duration::from_millis(VOTE_VALID_MS);
        let known = self.votes.get(&router);
        if known.is_some_and(|known| known.until > until) {
            return;
        }
        self.votes.insert(router, TimedVote { vote, until });
    }

    /// Returns until when the store counts as out, or nothing when it does not.
    ///
    /// To be asked only while this router itself cannot reach the store.
    pub fn outage_until(
        &self,
        list: &RouterList,
        own: &RouterId,
        held: &VersionVector,
        now: Instant,
    ) -> Option<Instant> {
        let voters = RelayPlan::new(list).voters();
        let own_until = now + Duration::from_millis(VOTE_VALID_MS);
        let mut deadlines = Vec::new();
        for voter in &voters {
            if voter.router == *own {
                deadlines.push(own_until);
                continue;
            }
            let Some(timed) = self
                .votes
                .get(&voter.router)
                .filter(|timed| now < timed.until)
            else {
                continue;
            };
            if timed.vote.reaches_store || held.is_behind(&timed.vote.held) {
                return None;
            }
            deadlines.push(timed.until);
        }
        let needed = voters.len() / 2 + 1;
        deadlines.sort_by(|left, right| right.cmp(left));
        deadlines.get(needed - 1).copied()
    }
}
