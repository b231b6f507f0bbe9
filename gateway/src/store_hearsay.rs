//! Asks peers whether they reach the store while this router does not.
//!
//! An outage that all routers see must not limit requests: nobody can hear of changes then. If
//! only some routers are cut off from the store, the others follow changes that these miss.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::peer::PeerMessage;
use jujuberoad_node::runtime;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;

/// Interval at which peers are asked.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of peers that are asked each time.
const ASKED_PEERS: usize = 3;
/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Time for which an answer counts.
const VALIDITY: Duration = Duration::from_secs(1);
/// Time for which a router that the store did not serve says so: others that saw the same outage
/// read the registry again by then.
const OUTAGE_MEMORY: Duration = Duration::from_secs(3);

/// What peers have told of the store.
#[derive(Default)]
pub(crate) struct StoreHearsay {
    /// Until when a peer is taken to reach the store.
    reached_until: Mutex<Option<Instant>>,
}

impl StoreHearsay {
    /// Returns whether a peer has said lately that it reaches the store.
    pub(crate) fn is_reached(&self) -> bool {
        let reached_until = self.reached_until.lock().expect("hearsay lock");
        reached_until.is_some_and(|until| Instant::now() < until)
    }

    fn record_reached(&self) {
        let mut reached_until = self.reached_until.lock().expect("hearsay lock");
        *reached_until = Some(Instant::now() + VALIDITY);
    }
}

/// Starts the task that asks peers.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(ASK_INTERVAL).await;
            if !core.may_miss_changes(&core.fleet.view()) {
                continue;
            }
            let mut peers = peer_exchange::other_peers(&core);
            fastrand::shuffle(&mut peers);
            for peer in peers.into_iter().take(ASKED_PEERS) {
                let core = Arc::clone(&core);
                runtime::spawn(async move {
                    let deadline = Instant::now() + ANSWER_TIME;
                    // Peers of earlier builds do not answer.
                    let ask = PeerMessage::Ping { digest: 0 };
                    let answer = core.peers.send_request(peer, ask, deadline).await;
                    if let Some(PeerMessage::PongSame {
                        reaches_store: true,
                        ..
                    }) = answer
                    {
                        core.store_hearsay.record_reached();
                    }
                });
            }
        }
    });
}

/// Returns the answer to a peer that asks.
pub(crate) fn answer(core: &GatewayCore) -> PeerMessage {
    let now = Instant::now();
    let confirmed_at = core.fleet.view().registry_confirmed_at;
    let remembered_since = now.checked_sub(OUTAGE_MEMORY).unwrap_or(now);
    let outages = &core.store_outages;
    PeerMessage::PongSame {
        age_ms: confirmed_at.map(|at| at.elapsed().as_millis() as u64),
        reaches_store: outages.is_answered() && !outages.was_out_since(remembered_since),
    }
}
