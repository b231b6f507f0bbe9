//! Distinguishes an outage of the store from a partition of this router by asking
//! its peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::membership::OutageTally;
use jujuberoad::membership::PeerVote;
use jujuberoad::membership::RelayPlan;
use jujuberoad::membership::RouterEntry;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::runtime;
use spdlog::warn;

use crate::router_core::RouterCore;

/// Time without a response from the store after which it counts as unreachable.
const STORE_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval between checks, and between queries to the voters during an outage.
const VOTE_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one query to a peer.
const VOTE_TIMEOUT: Duration = Duration::from_millis(400);

/// Collects the votes of peers while this router cannot reach the store.
pub(crate) struct OutageDetector {
    core: Arc<RouterCore>,
    tally: Mutex<OutageTally>,
}

impl OutageDetector {
    /// Starts the detector.
    pub(crate) fn start(core: Arc<RouterCore>) {
        let detector = Arc::new(Self {
            core,
            tally: Mutex::default(),
        });
        runtime::spawn(detector.run());
    }

    async fn run(self: Arc<Self>) {
        let mut was_in_outage = false;
        loop {
            smol::Timer::after(VOTE_INTERVAL).await;
            if local_vote(&self.core).reaches_store {
                was_in_outage = false;
                continue;
            }
            self.query_voters();
            let is_in_outage = self.update_outage();
            if is_in_outage && !was_in_outage {
                warn!(
                    "view: a majority of voters cannot reach the store; using the last known records"
                );
            }
            was_in_outage = is_in_outage;
        }
    }

    fn query_voters(self: &Arc<Self>) {
        let view = self.core.view_cache.view();
        for voter in RelayPlan::new(&view.list).voters() {
            if voter.router != self.core.settings.id {
                runtime::spawn(Arc::clone(self).query_voter(voter.clone()));
            }
        }
    }

    async fn query_voter(self: Arc<Self>, peer: RouterEntry) {
        let requested_at = Instant::now();
        let deadline = requested_at + VOTE_TIMEOUT;
        let held = self
            .core
            .view_cache
            .with_guard(|guard| guard.held_versions().clone());
        let ping = PeerMessage::Ping {
            digest: held.digest(),
        };
        let vote = match self
            .core
            .peers
            .send_request(peer.peer, ping, deadline)
            .await
        {
            Some(PeerMessage::Pong { vote, .. }) => vote,
            Some(PeerMessage::PongSame { reaches_store, .. }) => PeerVote {
                reaches_store,
                held,
            },
            _ => return,
        };
        self.tally
            .lock()
            .expect("vote lock")
            .record(peer.router, vote, requested_at);
    }

    /// Confirms an outage if the votes agree on one; returns whether they do.
    fn update_outage(&self) -> bool {
        let now = Instant::now();
        let view = self.core.view_cache.view();
        let own_id = &self.core.settings.id;
        let view_cache = &self.core.view_cache;
        let held = view_cache.with_guard(|guard| guard.held_versions().clone());
        let tally = self.tally.lock().expect("vote lock");
        let Some(until) = tally.outage_until(&view.list, own_id, &held, now) else {
            return false;
        };
        view_cache.with_guard(|guard| guard.confirm_outage(until));
        true
    }
}

/// Returns this router's vote on whether the store is reachable.
pub(crate) fn local_vote(core: &RouterCore) -> PeerVote {
    let now = Instant::now();
    core.view_cache.with_guard(|guard| PeerVote {
        reaches_store: guard.reaches_store(STORE_SILENCE_TIMEOUT, now),
        held: guard.held_versions().clone(),
    })
}
