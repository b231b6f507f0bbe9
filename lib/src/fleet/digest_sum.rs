//! What a router knows from the digests of its peers.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::DigestRound;
use super::LoadTable;
use crate::ids::EndpointId;
use crate::ids::Milliseconds;
use crate::ids::RouterId;
use crate::peer::PeerDigest;
use crate::peer::PoolWaiting;
use crate::peer::TargetOutcomes;
use crate::peer::VersionNote;

/// Age from which requests that wait elsewhere no longer count.
const WAITING_VALID: Duration = Duration::from_millis(600);

/// Number of endpoints whose outcomes are kept until they are taken.
const MAX_OUTCOME_ENDPOINTS: usize = 4_096;

/// Outcomes by endpoint.
pub type OutcomeSums = BTreeMap<EndpointId, TargetOutcomes>;

/// The last digest of a peer, without its loads, which a [`LoadTable`] holds.
#[derive(Clone, Debug)]
pub(super) struct DigestPart {
    pub(super) digest: PeerDigest,
    pub(super) seen_at: Instant,
    valid_until: Instant,
    /// Whether the sender is a member of this router.
    pub(super) is_member: bool,
}

/// The last digest of each peer, and outcomes that the next round of digests passes on.
#[derive(Clone, Debug, Default)]
pub struct DigestSum {
    pub(super) parts: BTreeMap<RouterId, DigestPart>,
    /// Outcomes of this router since the last round.
    pub(super) own_outcomes: OutcomeSums,
    /// Outcomes from peers since the last round, by sender, and whether it is a member.
    pub(super) peer_outcomes: BTreeMap<RouterId, (bool, OutcomeSums)>,
    /// Outcomes from peers that this router has not taken yet.
    received: OutcomeSums,
}

impl DigestSum {
    /// Adds an answer of an endpoint to this router.
    pub fn record_outcome(&mut self, endpoint: &EndpointId, on_time: bool) {
        let sum = self.own_outcomes.entry(endpoint.clone()).or_default();
        if on_time {
            sum.on_time = sum.on_time.saturating_add(1);
        } else {
            sum.late = sum.late.saturating_add(1);
        }
    }

    /// Replaces the digest of a peer, which counts until `valid_until`, and its loads in `loads`.
    pub fn observe(
        &mut self,
        sender: &RouterId,
        mut digest: PeerDigest,
        is_member: bool,
        loads: &mut LoadTable,
        now: Instant,
        valid_until: Instant,
    ) {
        let outcomes = std::mem::take(&mut digest.outcomes);
        if !outcomes.is_empty() {
            let entry = self.peer_outcomes.entry(sender.clone()).or_default();
            entry.0 = is_member;
            add_outcomes(&mut entry.1, &outcomes);
            add_outcomes(&mut self.received, &outcomes);
        }
        let reported = std::mem::take(&mut digest.loads);
        loads.observe_peer(sender.clone(), reported, now, valid_until);
        let part = DigestPart {
            digest,
            seen_at: now,
            valid_until,
            is_member,
        };
        self.parts.insert(sender.clone(), part);
    }

    /// Drops the digest of a peer, but not its loads.
    pub fn forget(&mut self, sender: &RouterId) {
        self.parts.remove(sender);
    }

    /// Drops the digests of all peers but `kept`.
    pub fn retain(&mut self, kept: &RouterId) {
        self.parts.retain(|sender, _| sender == kept);
    }

    /// Drops digests that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.parts.retain(|_, part| now < part.valid_until);
    }

    /// Begins a round of digests with the state of this router, whose outcomes are filled in here.
    /// Outcomes that arrive from now on belong to the next round.
    ///
    /// `prefill_ms_per_token` returns the speed of an endpoint, by which pending tokens age on
    /// their way through hubs.
    pub fn begin_round<'a>(
        &'a mut self,
        mut own: PeerDigest,
        loads: &'a LoadTable,
        prefill_ms_per_token: &'a dyn Fn(&EndpointId) -> f64,
        now: Instant,
    ) -> DigestRound<'a> {
        let outcomes = std::mem::take(&mut self.own_outcomes);
        own.outcomes = outcomes.into_iter().collect();
        let peer_outcomes = std::mem::take(&mut self.peer_outcomes);
        DigestRound::new(
            own,
            &self.parts,
            peer_outcomes,
            loads,
            prefill_ms_per_token,
            now,
        )
    }

    /// Returns the outcomes that peers have reported since the last call.
    pub fn take_outcomes(&mut self) -> OutcomeSums {
        std::mem::take(&mut self.received)
    }

    /// Returns what waits at all other routers whose digests are recent, by pool, priority and
    /// team.
    pub fn fleet_waiting(&self, now: Instant) -> Vec<PoolWaiting> {
        let parts = self.parts.values();
        let recent = parts
            .filter(|part| now.saturating_duration_since(part.seen_at) < WAITING_VALID)
            .map(|part| part.digest.waiting.as_slice());
        sum_waiting(recent)
    }

    /// Returns the smallest and the largest processor share of the routers, including `own`, as
    /// far as they are known.
    pub fn cpu_range(&self, own: u32) -> (u32, u32) {
        let digests = self.parts.values().map(|part| &part.digest);
        digests.fold((own, own), |range, digest| {
            widen(
                range,
                digest.least_cpu_millicores,
                digest.most_cpu_millicores,
            )
        })
    }

    /// Returns the newest version that a peer has reported, with the time that has passed since
    /// the store confirmed it.
    pub fn newest_note(&self, now: Instant) -> Option<VersionNote> {
        let notes = self
            .parts
            .values()
            .filter_map(|part| aged_note(part.digest.operator_version, part.seen_at, now));
        notes.reduce(newer_note)
    }
}

/// Returns a note as of `now` that was received at `seen_at`.
pub(super) fn aged_note(
    note: Option<VersionNote>,
    seen_at: Instant,
    now: Instant,
) -> Option<VersionNote> {
    let mut note = note?;
    let passed = now.saturating_duration_since(seen_at).as_millis() as Milliseconds;
    note.age_ms = note.age_ms.saturating_add(passed);
    Some(note)
}

/// Returns the note of the newer version; of the same version, the one confirmed last.
pub(super) fn newer_note(one: VersionNote, other: VersionNote) -> VersionNote {
    let rank = |note: &VersionNote| (note.era, note.version, std::cmp::Reverse(note.age_ms));
    if rank(&one) >= rank(&other) {
        one
    } else {
        other
    }
}

/// Extends a range of processor shares; 0 stands for an unknown one.
pub(super) fn widen(range: (u32, u32), least: u32, most: u32) -> (u32, u32) {
    let (low, high) = range;
    let low = match (low, least) {
        (0, known) | (known, 0) => known,
        _ => low.min(least),
    };
    (low, high.max(most))
}

/// Adds outcomes by endpoint.
pub(super) fn add_outcomes(sums: &mut OutcomeSums, outcomes: &[(EndpointId, TargetOutcomes)]) {
    for (endpoint, outcome) in outcomes {
        if sums.len() >= MAX_OUTCOME_ENDPOINTS && !sums.contains_key(endpoint) {
            continue;
        }
        let sum = sums.entry(endpoint.clone()).or_default();
        sum.on_time = sum.on_time.saturating_add(outcome.on_time);
        sum.late = sum.late.saturating_add(outcome.late);
    }
}

/// Adds up what waits, by pool, priority and team.
pub(super) fn sum_waiting<'a>(parts: impl Iterator<Item = &'a [PoolWaiting]>) -> Vec<PoolWaiting> {
    let mut sums = BTreeMap::new();
    for entry in parts.flatten() {
        let key = (&entry.service, &entry.model, entry.priority, &entry.team);
        let sum = sums.entry(key).or_insert((0u32, 0u32, 0u32));
        sum.0 = sum.0.saturating_add(entry.waiting);
        sum.1 = sum.1.saturating_add(entry.running);
        sum.2 = sum.2.saturating_add(entry.finished);
    }
    let sums = sums.into_iter();
    sums.map(
        |((service, model, priority, team), (waiting, running, finished))| PoolWaiting {
            service: service.clone(),
            model: model.clone(),
            priority,
            team: team.clone(),
            waiting,
            running,
            finished,
        },
    )
    .collect()
}
