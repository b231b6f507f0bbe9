//! Responds to requests from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::peer::PeerHandler;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;

use crate::outage_detector::local_vote;
use crate::router_core::RouterCore;
use crate::slot_requester::answer_slot_request;

/// Responds to peers on behalf of one router.
pub(crate) struct PeerResponder {
    core: Arc<RouterCore>,
}

impl PeerResponder {
    pub(crate) fn new(core: Arc<RouterCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }
}

impl PeerHandler for PeerResponder {
    fn handle_request(&self, socket: &Arc<PeerSocket>, frame: PeerFrame, from: SocketAddr) {
        let core = Arc::clone(&self.core);
        let socket = Arc::clone(socket);
        runtime::spawn(async move {
            let Some(response) = respond(&core, frame.message).await else {
                return;
            };
            socket.send_response(from, frame.exchange, response).await;
        });
    }
}

async fn respond(core: &Arc<RouterCore>, request: PeerMessage) -> Option<PeerMessage> {
    let now = Instant::now();
    match request {
        PeerMessage::Ping { digest } => Some(pong(core, digest, now)),
        PeerMessage::SlotRequest(request) => {
            answer_slot_request(core, &request).map(PeerMessage::SlotGrant)
        }
        PeerMessage::Claim {
            key,
            nonce,
            timeout_ms,
        } => {
            let deadline = now + Duration::from_millis(timeout_ms);
            let reply = core
                .claims
                .claim_as_home(core, key, nonce, deadline)
                .await?;
            Some(PeerMessage::ClaimReply(reply))
        }
        PeerMessage::CompleteClaim { key, nonce, answer } => {
            let is_recorded = core.claims.complete_as_home(core, key, nonce, answer)?;
            Some(PeerMessage::ClaimCompleted { is_recorded })
        }
        _ => None,
    }
}

/// Returns the response to a ping; it lists the confirmed versions only if `digest`
/// shows that the sender holds different ones.
fn pong(core: &RouterCore, digest: u64, now: Instant) -> PeerMessage {
    let vote = local_vote(core);
    if digest == vote.held.digest() {
        let age_ms = core
            .view_cache
            .with_guard(|guard| guard.oldest_confirmation_age_ms(now));
        return PeerMessage::PongSame {
            age_ms,
            reaches_store: vote.reaches_store,
        };
    }
    let confirmed = core.view_cache.with_guard(|guard| guard.confirmations(now));
    PeerMessage::Pong { confirmed, vote }
}
