//! Decides which bodies of requests and answers may take memory.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BodyId;

/// Largest request body that may use the part of the budget reserved for small bodies.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;
/// Part of the budget that large request bodies leave to small ones.
const SMALL_PART: u64 = 4;
/// Part of the budget that request bodies leave to answers. Without it, requests could hold all
/// of it until their deadlines, while the answers that would end them find no room.
const ANSWER_PART: u64 = 4;
/// Part of the budget that large answers leave to small ones, which would otherwise wait while
/// callers read large ones slowly.
const SMALL_ANSWER_PART: u64 = 16;
/// Bytes that count as progress. A caller that sends less than this in [`MAX_STALL`] is slower
/// than 16 kbit/s and may lose its reservation.
const PROGRESS_BYTES: u64 = 1 << 10;
/// Time without progress after which a body may lose its reservation to another request body.
const MAX_STALL: Duration = Duration::from_millis(500);

/// What happens to a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyVerdict {
    /// The bytes are reserved; these bodies have lost their reservations for it.
    Granted(Vec<BodyId>),
    /// There is no room, and no other body may lose its reservation.
    NoRoom,
    /// The body has lost its reservation before.
    Evicted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimKind {
    /// A request body that has not arrived as a whole.
    Arriving,
    /// A request body that has arrived; it is held until the request needs it no more.
    Whole,
    /// The body of an answer.
    Answer,
}

#[derive(Clone, Debug)]
struct BodyClaim {
    kind: ClaimKind,
    reserved_bytes: u64,
    /// Bytes that have arrived since the last progress.
    pending_bytes: u64,
    progressed_at: Instant,
}

impl BodyClaim {
    fn is_large(&self) -> bool {
        self.reserved_bytes > SMALL_BODY_BYTES
    }

    fn is_large_request(&self) -> bool {
        self.kind != ClaimKind::Answer && self.is_large()
    }
}

/// Memory for bodies, of which each body reserves what it takes as its bytes arrive.
///
/// A request body that finds no room takes that of the request body that has gone longest
/// without progress. Bodies that have arrived and answers keep theirs.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    total_bytes: u64,
    claims: BTreeMap<BodyId, BodyClaim>,
    last_id: BodyId,
    used: UsedBytes,
}

/// Sums over the claims.
#[derive(Clone, Copy, Debug, Default)]
struct UsedBytes {
    total: u64,
    requests: u64,
    large_requests: u64,
}

impl UsedBytes {
    fn add(&mut self, claim: &BodyClaim) {
        let bytes = claim.reserved_bytes;
        self.total += bytes;
        if claim.kind != ClaimKind::Answer {
            self.requests += bytes;
        }
        if claim.is_large_request() {
            self.large_requests += bytes;
        }
    }

    fn remove(&mut self, claim: &BodyClaim) {
        let bytes = claim.reserved_bytes;
        self.total -= bytes;
        if claim.kind != ClaimKind::Answer {
            self.requests -= bytes;
        }
        if claim.is_large_request() {
            self.large_requests -= bytes;
        }
    }
}

impl BodyBudget {
    /// Creates a budget of `total_bytes`.
    pub fn new(total_bytes: u64) -> Self {
        Self {
            total_bytes,
            claims: BTreeMap::new(),
            last_id: 0,
            used: UsedBytes::default(),
        }
    }

    /// Adds a request body that begins to arrive.
    pub fn begin_request(&mut self, now: Instant) -> BodyId {
        self.begin(ClaimKind::Arriving, now)
    }

    /// Adds the body of an answer.
    pub fn begin_answer(&mut self, now: Instant) -> BodyId {
        self.begin(ClaimKind::Answer, now)
    }

    fn begin(&mut self, kind: ClaimKind, now: Instant) -> BodyId {
        self.last_id += 1;
        let claim = BodyClaim {
            kind,
            reserved_bytes: 0,
            pending_bytes: 0,
            progressed_at: now,
        };
        self.claims.insert(self.last_id, claim);
        self.last_id
    }

    /// Notes that `bytes` of a body have arrived.
    pub fn observe(&mut self, id: BodyId, bytes: u64, now: Instant) {
        let Some(claim) = self.claims.get_mut(&id) else {
            return;
        };
        claim.pending_bytes += bytes;
        if claim.pending_bytes >= PROGRESS_BYTES {
            claim.pending_bytes = 0;
            claim.progressed_at = now;
        }
    }

    /// Reserves `bytes` more for a body.
    pub fn reserve(&mut self, id: BodyId, bytes: u64, now: Instant) -> BodyVerdict {
        let Some(old) = self.claims.get(&id) else {
            return BodyVerdict::Evicted;
        };
        let mut claim = old.clone();
        claim.reserved_bytes += bytes;
        let mut used = self.used;
        used.remove(old);
        used.add(&claim);
        let mut evicted = Vec::new();
        if !self.fits(&claim, used) {
            for victim in self.victims(id, &claim, now) {
                let lost = &self.claims[&victim];
                let exceeds_all = used.total > self.total_bytes
                    || used.requests > self.request_bytes()
                    || claim.kind == ClaimKind::Answer;
                // A small body makes no room where only the part for large ones is used up.
                if !exceeds_all && !lost.is_large_request() {
                    continue;
                }
                used.remove(lost);
                evicted.push(victim);
                if self.fits(&claim, used) {
                    break;
                }
            }
            if !self.fits(&claim, used) {
                return BodyVerdict::NoRoom;
            }
        }
        for victim in &evicted {
            self.claims.remove(victim);
        }
        self.used = used;
        self.claims.insert(id, claim);
        BodyVerdict::Granted(evicted)
    }

    /// Marks a request body as arrived, so that it keeps its reservation until its release;
    /// returns false if it has lost it before.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let Some(claim) = self.claims.get_mut(&id) else {
            return false;
        };
        if claim.kind == ClaimKind::Arriving {
            claim.kind = ClaimKind::Whole;
        }
        true
    }

    /// Frees the reservation of a body, if it still has one.
    pub fn release(&mut self, id: BodyId) {
        if let Some(claim) = self.claims.remove(&id) {
            self.used.remove(&claim);
        }
    }

    /// Returns the number of reserved bytes.
    pub fn used_bytes(&self) -> u64 {
        self.used.total
    }

    /// Returns the number of bytes that request bodies may take together.
    fn request_bytes(&self) -> u64 {
        self.total_bytes - self.total_bytes / ANSWER_PART
    }

    /// Returns whether a claim may be as it is, with these sums.
    fn fits(&self, claim: &BodyClaim, used: UsedBytes) -> bool {
        if used.total > self.total_bytes {
            return false;
        }
        if claim.kind == ClaimKind::Answer {
            let small_bytes = self.total_bytes / SMALL_ANSWER_PART;
            return !claim.is_large() || used.total <= self.total_bytes - small_bytes;
        }
        let large_bytes = self.request_bytes() - self.total_bytes / SMALL_PART;
        used.requests <= self.request_bytes()
            && (!claim.is_large() || used.large_requests <= large_bytes)
    }

    /// Returns the bodies that `claim` may displace, the one without progress for longest
    /// first. An answer displaces any arriving body, since its request may have run.
    fn victims(&self, id: BodyId, claim: &BodyClaim, now: Instant) -> Vec<BodyId> {
        let is_answer = claim.kind == ClaimKind::Answer;
        let others = self.claims.iter().filter(|(other, _)| **other != id);
        let mut victims: Vec<(Instant, BodyId)> = others
            .filter(|(_, other)| other.kind == ClaimKind::Arriving && other.reserved_bytes > 0)
            .filter(|(_, other)| is_answer || other.progressed_at + MAX_STALL <= now)
            .map(|(other, claim)| (claim.progressed_at, *other))
            .collect();
        victims.sort_unstable();
        victims.into_iter().map(|(_, victim)| victim).collect()
    }
}
