//! Load of each endpoint over all routers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::RouterId;

/// Load that one router has placed on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens of requests whose prefill has not finished.
    pub pending_prefill_tokens: u32,
}

/// Load placed by this router, and by its peers as they last reported it.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    own: HashMap<EndpointId, EndpointLoad>,
    peers: HashMap<RouterId, PeerLoad>,
}

#[derive(Clone, Debug)]
struct PeerLoad {
    loads: HashMap<EndpointId, EndpointLoad>,
    seen_at: Instant,
    valid_until: Instant,
}

impl LoadTable {
    /// Adds a request that is about to be sent.
    pub fn begin_request(&mut self, endpoint: &EndpointId, tokens: u32) {
        let load = self.own.entry(endpoint.clone()).or_default();
        load.requests += 1;
        load.pending_prefill_tokens += tokens;
    }

    /// Removes the prompt tokens of a request whose prefill has finished.
    pub fn finish_prefill(&mut self, endpoint: &EndpointId, tokens: u32) {
        if let Some(load) = self.own.get_mut(endpoint) {
            load.pending_prefill_tokens = load.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Removes a finished request; `tokens` is its number of pending prefill tokens.
    pub fn end_request(&mut self, endpoint: &EndpointId, tokens: u32) {
        let Some(load) = self.own.get_mut(endpoint) else {
            return;
        };
        load.requests = load.requests.saturating_sub(1);
        load.pending_prefill_tokens = load.pending_prefill_tokens.saturating_sub(tokens);
        if load.requests == 0 {
            self.own.remove(endpoint);
        }
    }

    /// Replaces the load of a peer as reported at `seen_at`; it counts until `valid_until`.
    pub fn observe_peer(
        &mut self,
        peer: RouterId,
        loads: Vec<(EndpointId, EndpointLoad)>,
        seen_at: Instant,
        valid_until: Instant,
    ) {
        let load = PeerLoad {
            loads: loads.into_iter().collect(),
            seen_at,
            valid_until,
        };
        self.peers.insert(peer, load);
    }

    /// Drops the load of peers whose last report has expired.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| now < peer.valid_until);
    }

    /// Returns the load of an endpoint over all routers.
    ///
    /// Pending tokens reported by a peer are reduced by the prefill done since, at
    /// `prefill_ms_per_token`. Without that, all routers would avoid the same endpoints
    /// after these have become idle, and overload the others.
    pub fn total(
        &self,
        endpoint: &EndpointId,
        prefill_ms_per_token: f64,
        now: Instant,
    ) -> EndpointLoad {
        let mut total = self.own.get(endpoint).copied().unwrap_or_default();
        for peer in self.peers.values() {
            let Some(load) = peer.loads.get(endpoint) else {
                continue;
            };
            total.requests += load.requests;
            let age = now.saturating_duration_since(peer.seen_at);
            total.pending_prefill_tokens +=
                remaining_prefill_tokens(load.pending_prefill_tokens, prefill_ms_per_token, age);
        }
        total
    }

    /// Adds the load that `peer` has reported to `sums`; pending tokens are reduced as in
    /// [`Self::total`].
    pub fn add_peer(
        &self,
        peer: &RouterId,
        prefill_ms_per_token: &dyn Fn(&EndpointId) -> f64,
        now: Instant,
        sums: &mut BTreeMap<EndpointId, EndpointLoad>,
    ) {
        let Some(peer) = self.peers.get(peer) else {
            return;
        };
        let age = now.saturating_duration_since(peer.seen_at);
        for (endpoint, load) in &peer.loads {
            let sum = sums.entry(endpoint.clone()).or_default();
            sum.requests = sum.requests.saturating_add(load.requests);
            if load.pending_prefill_tokens == 0 {
                continue;
            }
            let rate = prefill_ms_per_token(endpoint);
            let tokens = remaining_prefill_tokens(load.pending_prefill_tokens, rate, age);
            sum.pending_prefill_tokens = sum.pending_prefill_tokens.saturating_add(tokens);
        }
    }

    /// Returns the peers with a load report that has not expired.
    pub fn peers(&self) -> impl Iterator<Item = &RouterId> {
        self.peers.keys()
    }

    /// Returns the age of the oldest report that counts.
    pub fn oldest_report(&self, now: Instant) -> Option<Duration> {
        let peers = self.peers.values();
        let ages = peers.map(|peer| now.saturating_duration_since(peer.seen_at));
        ages.max()
    }

    /// Drops the load of a peer.
    pub fn forget_peer(&mut self, peer: &RouterId) {
        self.peers.remove(peer);
    }

    /// Drops the load of all peers but `kept`, which reports for all of them.
    pub fn retain_peer(&mut self, kept: &RouterId) {
        self.peers.retain(|peer, _| peer == kept);
    }

    /// Returns the load that this router has placed, by endpoint.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, &EndpointLoad)> {
        self.own.iter()
    }

    /// Returns the number of peers with a load report that has not expired.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// Returns how many of `tokens` pending tokens are left after `age`.
fn remaining_prefill_tokens(tokens: u32, prefill_ms_per_token: f64, age: Duration) -> u32 {
    if prefill_ms_per_token <= 0.0 {
        return tokens;
    }
    let processed = age.as_secs_f64() * 1_000.0 / prefill_ms_per_token;
    (f64::from(tokens) - processed).max(0.0) as u32
}
