//! How much work each endpoint has been given.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::RouterId;

/// Requests and tokens that one router has under way at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests under way.
    pub requests: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub pending_prefill_tokens: u32,
}

/// Work under way from this router and, as they last said, from its peers.
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
    /// Notes a request that is about to be sent.
    pub fn begin_request(&mut self, endpoint: &EndpointId, tokens: u32) {
        let load = self.own.entry(endpoint.clone()).or_default();
        load.requests += 1;
        load.pending_prefill_tokens += tokens;
    }

    /// Notes that the prompt of a request has been read.
    pub fn finish_prefill(&mut self, endpoint: &EndpointId, tokens: u32) {
        if let Some(load) = self.own.get_mut(endpoint) {
            load.pending_prefill_tokens = load.pending_prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Notes the end of a request; `tokens` are those still unread.
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

    /// Takes what a peer says at `seen_at`; it counts until `valid_until`.
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

    /// Forgets peers that have not spoken in time.
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| now < peer.valid_until);
    }

    /// Returns the work at an endpoint over all routers.
    ///
    /// Prompts of which a peer has told are read since then, a token in
    /// `prefill_ms_per_token`; counted as they were told, they would have all routers
    /// shun the same endpoints long after those are idle, and crowd the others.
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

    /// Returns the work that this router has under way.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, &EndpointLoad)> {
        self.own.iter()
    }

    /// Returns the number of peers that have spoken lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// Returns what is left of `tokens` unread ones after `age`.
fn remaining_prefill_tokens(tokens: u32, prefill_ms_per_token: f64, age: Duration) -> u32 {
    if prefill_ms_per_token <= 0.0 {
        return tokens;
    }
    let read = age.as_secs_f64() * 1_000.0 / prefill_ms_per_token;
    (f64::from(tokens) - read).max(0.0) as u32
}
