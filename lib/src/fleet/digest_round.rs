//! The digests that a router sends at one time.

use std::collections::BTreeMap;
use std::time::Instant;

use super::EndpointLoad;
use super::LoadTable;
use super::digest_sum::DigestPart;
use super::digest_sum::OutcomeSums;
use super::digest_sum::add_outcomes;
use super::digest_sum::aged_note;
use super::digest_sum::newer_note;
use super::digest_sum::sum_waiting;
use super::digest_sum::widen;
use crate::ids::EndpointId;
use crate::ids::RouterId;
use crate::peer::PeerDigest;
use crate::peer::PoolWaiting;

type LoadSums = BTreeMap<EndpointId, EndpointLoad>;

/// Sums by receiver, from the digests and loads that count at one time.
///
/// Each load is in one part only: that of its router, of the hub whose member it is, or of the
/// peer that sends `Loads`. A hub tells other hubs nothing that it has from a third router but its
/// members, so that no load comes back.
pub struct DigestRound<'a> {
    own: PeerDigest,
    parts: &'a BTreeMap<RouterId, DigestPart>,
    peer_outcomes: BTreeMap<RouterId, (bool, OutcomeSums)>,
    loads: &'a LoadTable,
    prefill_ms_per_token: &'a dyn Fn(&EndpointId) -> f64,
    now: Instant,
    /// Loads of all routers, once a member's digest has needed them.
    total: Option<LoadSums>,
}

impl<'a> DigestRound<'a> {
    pub(super) fn new(
        own: PeerDigest,
        parts: &'a BTreeMap<RouterId, DigestPart>,
        peer_outcomes: BTreeMap<RouterId, (bool, OutcomeSums)>,
        loads: &'a LoadTable,
        prefill_ms_per_token: &'a dyn Fn(&EndpointId) -> f64,
        now: Instant,
    ) -> Self {
        Self {
            own,
            parts,
            peer_outcomes,
            loads,
            prefill_ms_per_token,
            now,
            total: None,
        }
    }

    /// Returns the digest of this router alone, for its hub.
    pub fn own(&self) -> &PeerDigest {
        &self.own
    }

    /// Returns the digest of this router and its members, for another hub and, as to its loads,
    /// for peers that read only those.
    pub fn for_hubs(&self) -> PeerDigest {
        let mut sums = own_sums(&self.own);
        for (member, part) in self.parts {
            if part.is_member {
                self.add_loads(member, &mut sums);
            }
        }
        self.merge(sums, &|_, part| part.is_member, &|_, is_member| is_member)
    }

    /// Returns the digest of the whole fleet without the part of `member`.
    pub fn for_member(&mut self, member: &RouterId) -> PeerDigest {
        let mut sums = match self.total.take() {
            Some(total) => total,
            None => {
                let mut sums = own_sums(&self.own);
                for peer in self.loads.peers() {
                    self.add_loads(peer, &mut sums);
                }
                sums
            }
        };
        self.total = Some(sums.clone());
        let mut part = LoadSums::new();
        self.add_loads(member, &mut part);
        for (endpoint, load) in &part {
            let Some(sum) = sums.get_mut(endpoint) else {
                continue;
            };
            sum.requests = sum.requests.saturating_sub(load.requests);
            sum.pending_prefill_tokens = sum
                .pending_prefill_tokens
                .saturating_sub(load.pending_prefill_tokens);
        }
        sums.retain(|_, load| *load != EndpointLoad::default());
        self.merge(sums, &|id, _| id != member, &|id, _| id != member)
    }

    /// Adds up everything but loads over the parts that `includes` selects and the outcomes that
    /// `passes_on` selects.
    fn merge(
        &self,
        loads: LoadSums,
        includes: &dyn Fn(&RouterId, &DigestPart) -> bool,
        passes_on: &dyn Fn(&RouterId, bool) -> bool,
    ) -> PeerDigest {
        let own = &self.own;
        let mut cpu_range = (own.least_cpu_millicores, own.most_cpu_millicores);
        let mut placer = own.placer;
        let mut note = own.operator_version;
        let mut waiting: Vec<&[PoolWaiting]> = vec![&own.waiting];
        for (id, part) in self.parts {
            if !includes(id, part) {
                continue;
            }
            let digest = &part.digest;
            cpu_range = widen(
                cpu_range,
                digest.least_cpu_millicores,
                digest.most_cpu_millicores,
            );
            placer = placer.max(digest.placer);
            let theirs = aged_note(digest.operator_version, part.seen_at, self.now);
            note = note.into_iter().chain(theirs).reduce(newer_note);
            waiting.push(&digest.waiting);
        }
        let mut outcomes = OutcomeSums::new();
        add_outcomes(&mut outcomes, &own.outcomes);
        for (id, (is_member, sums)) in &self.peer_outcomes {
            if !passes_on(id, *is_member) {
                continue;
            }
            for (endpoint, sum) in sums {
                add_outcomes(&mut outcomes, &[(endpoint.clone(), *sum)]);
            }
        }
        PeerDigest {
            least_cpu_millicores: cpu_range.0,
            most_cpu_millicores: cpu_range.1,
            loads: loads.into_iter().collect(),
            placer,
            waiting: sum_waiting(waiting.into_iter()),
            outcomes: outcomes.into_iter().collect(),
            operator_version: note,
        }
    }

    fn add_loads(&self, peer: &RouterId, sums: &mut LoadSums) {
        self.loads
            .add_peer(peer, self.prefill_ms_per_token, self.now, sums);
    }
}

fn own_sums(own: &PeerDigest) -> LoadSums {
    own.loads.iter().cloned().collect()
}
