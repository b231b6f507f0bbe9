//! Which peers can take requests that this router cannot place.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::RouterId;
use crate::ids::ServiceId;

/// Time for which a peer's list of lost paths is valid; it is repeated several times in that time.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a peer gets nothing after it did not answer.
const SILENT_COOLDOWN: Duration = Duration::from_millis(1_000);
/// The same after it turned a request away; what it lacks may be back soon.
const UNABLE_COOLDOWN: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
struct PeerState {
    lost_services: BTreeSet<ServiceId>,
    announced_until: Instant,
    excluded_until: Instant,
    in_progress: u32,
}

impl PeerState {
    fn new(now: Instant) -> Self {
        Self {
            lost_services: BTreeSet::new(),
            announced_until: now,
            excluded_until: now,
            in_progress: 0,
        }
    }
}

/// What this router knows of its peers as relays, and what it has in progress at each.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    peers: HashMap<RouterId, PeerState>,
}

impl RelayTable {
    /// Records the services to which a peer has lost its path; none if it has them all.
    pub fn observe_lost_paths(
        &mut self,
        peer: &RouterId,
        services: BTreeSet<ServiceId>,
        now: Instant,
    ) {
        let state = self.state(peer, now);
        state.lost_services = services;
        state.announced_until = now + ANNOUNCEMENT_LIFETIME;
    }

    /// Excludes a peer that did not answer.
    pub fn observe_silence(&mut self, peer: &RouterId, now: Instant) {
        self.state(peer, now).excluded_until = now + SILENT_COOLDOWN;
    }

    /// Excludes a peer that could not take a request.
    pub fn observe_unable(&mut self, peer: &RouterId, now: Instant) {
        self.state(peer, now).excluded_until = now + UNABLE_COOLDOWN;
    }

    /// Returns whether a peer has announced that it lost its path to some service.
    pub fn has_lost_paths(&self, peer: &RouterId, now: Instant) -> bool {
        let state = self.peers.get(peer);
        state.is_some_and(|state| now < state.announced_until && !state.lost_services.is_empty())
    }

    /// Returns the peer to relay a request for `service` to: one that reaches the service, with the
    /// fewest requests of this router in progress. `random` returns numbers in `0..1`.
    pub fn pick<'a>(
        &self,
        candidates: impl Iterator<Item = &'a RouterId>,
        service: &ServiceId,
        now: Instant,
        mut random: impl FnMut() -> f64,
    ) -> Option<&'a RouterId> {
        let mut best: Option<(f64, &RouterId)> = None;
        for peer in candidates {
            let state = self.peers.get(peer);
            if state.is_some_and(|state| !state.may_take(service, now)) {
                continue;
            }
            let load = f64::from(state.map_or(0, |state| state.in_progress)) + random();
            if best.is_none_or(|(least, _)| load < least) {
                best = Some((load, peer));
            }
        }
        best.map(|(_, peer)| peer)
    }

    /// Counts a request that is relayed to `peer`.
    pub fn begin(&mut self, peer: &RouterId, now: Instant) {
        self.state(peer, now).in_progress += 1;
    }

    /// Counts the end of a relayed request.
    pub fn end(&mut self, peer: &RouterId) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.in_progress = state.in_progress.saturating_sub(1);
        }
    }

    /// Returns the number of requests in progress at peers.
    pub fn in_progress(&self) -> u32 {
        self.peers.values().map(|state| state.in_progress).sum()
    }

    /// Forgets peers that have left and have nothing in progress.
    pub fn retain(&mut self, is_listed: impl Fn(&RouterId) -> bool) {
        self.peers
            .retain(|peer, state| state.in_progress > 0 || is_listed(peer));
    }

    fn state(&mut self, peer: &RouterId, now: Instant) -> &mut PeerState {
        self.peers
            .entry(peer.clone())
            .or_insert_with(|| PeerState::new(now))
    }
}

impl PeerState {
    fn may_take(&self, service: &ServiceId, now: Instant) -> bool {
        let has_lost_path = now < self.announced_until && self.lost_services.contains(service);
        now >= self.excluded_until && !has_lost_path
    }
}
