//! What routers tell each other: work under way, and groups that fell silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupKey;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Fence;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::StoreVersion;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::peer::PeerHandler;
use jujuberoad_node::peer::PeerSocket;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::silence_loop;
use crate::silence_loop::ProbeCause;

/// Pause between two digests with few peers.
const DIGEST_PACE: Duration = Duration::from_millis(50);
/// Added to the pause for each peer, so that the messages of a router stay
/// bounded as the fleet grows.
const PACE_PER_PEER: Duration = Duration::from_millis(5);
/// Digests that may be lost before a peer's work is no longer counted.
const DIGEST_VALID: Duration = Duration::from_millis(600);

/// Time for which a group is avoided on a peer's word; by then the registry or the
/// router that forms groups has said more.
const PEER_WORD_VALID: Duration = Duration::from_millis(2_000);
/// Reports in one message, so that it fits in a datagram.
const REPORTS_PER_MESSAGE: usize = 20;

/// Takes messages of peers.
pub(crate) struct PeerDesk {
    core: Arc<GatewayCore>,
}

/// Starts to send digests and to take those of peers.
pub(crate) fn start(core: Arc<GatewayCore>) {
    let desk = Arc::new(PeerDesk {
        core: Arc::clone(&core),
    });
    runtime::spawn(Arc::clone(&core.peers).run(desk));
    runtime::spawn(async move {
        loop {
            let peers = {
                let addresses = core.peer_addresses.lock().expect("peer lock");
                addresses.len() as u32
            };
            Timer::after(DIGEST_PACE + PACE_PER_PEER * peers).await;
            let loads = {
                let mut loads = core.loads.lock().expect("load lock");
                loads.expire(Instant::now());
                let own = loads.own();
                own.map(|(endpoint, load)| (endpoint.clone(), *load))
                    .collect()
            };
            let placer = core.session.order_fence();
            tell_all(&core, PeerMessage::Loads { loads, placer }).await;
        }
    });
}

/// Tells peers what engines do, while this router forms groups.
pub(crate) fn tell_observed(
    core: &Arc<GatewayCore>,
    as_of: Option<StoreVersion>,
    news: Vec<(EndpointId, EngineReport)>,
) {
    let Some(fence) = core.session.order_fence() else {
        return;
    };
    if news.is_empty() {
        return;
    }
    let core = Arc::clone(core);
    runtime::spawn(async move {
        for reports in news.chunks(REPORTS_PER_MESSAGE) {
            let message = PeerMessage::EngineReports {
                placer: fence,
                as_of,
                reports: reports.to_vec(),
            };
            tell_all(&core, message).await;
        }
    });
}

/// Sends a message to all peers.
pub(crate) async fn tell_all(core: &GatewayCore, message: PeerMessage) {
    let peers: Vec<SocketAddr> = {
        let addresses = core.peer_addresses.lock().expect("peer lock");
        let others = addresses.iter().filter(|(id, _)| **id != core.settings.id);
        others.map(|(_, address)| *address).collect()
    };
    for peer in peers {
        core.peers.tell(peer, message.clone()).await;
    }
}

impl PeerDesk {
    fn take_over(&self, fence: Fence, from: &RouterId) {
        if self.core.session.take_over(fence) {
            self.core.log.write(
                LogKind::Lease,
                json!({"fence": fence, "state": "taken over", "from": from}),
            );
        }
    }
}

impl PeerDesk {
    /// Looks for itself where it has streams or forms groups; else a peer's word is
    /// enough to send nothing there for a while.
    fn take_silence(&self, endpoint: &EndpointId, group: &GroupKey, lost: Option<&EndpointId>) {
        let core = &self.core;
        let target = if core.stalls.has_streams(endpoint) {
            core.stalls.hurry_probe(endpoint)
        } else if core.is_placer.load(Ordering::Relaxed) {
            let view = core.board.view();
            let mut targets = view.targets.iter();
            targets.find(|target| target.endpoint == *endpoint).cloned()
        } else {
            core.avoid_group_for(group, PEER_WORD_VALID);
            if let Some(lost) = lost {
                core.mark_lost_for(lost, PEER_WORD_VALID);
            }
            None
        };
        let Some(target) = target else {
            return;
        };
        let core = Arc::clone(core);
        runtime::spawn(async move {
            silence_loop::examine(&core, target, ProbeCause::Peer).await;
        });
    }
}

impl PeerDesk {
    /// Takes what a newer registry showed, or engines said while it is away.
    fn take_observed(&self, as_of: Option<StoreVersion>, reports: Vec<(EndpointId, EngineReport)>) {
        let board = &self.core.board;
        let known = board.view().registry_version;
        for (endpoint, report) in reports {
            match as_of {
                Some(version) if version > known => board.apply_relayed(&endpoint, report),
                Some(_) => continue,
                None => {
                    board.apply_report(&endpoint, report);
                }
            }
        }
        self.core.queue.wake_all();
    }
}

impl PeerHandler for PeerDesk {
    fn question(&self, _socket: &Arc<PeerSocket>, frame: PeerFrame, _from: SocketAddr) {
        match frame.message {
            PeerMessage::Loads { loads, placer } => {
                if let Some(fence) = placer {
                    self.core.session.observe_peer_fence(fence);
                }
                let now = Instant::now();
                let mut table = self.core.loads.lock().expect("load lock");
                table.observe_peer(frame.sender, loads, now, now + DIGEST_VALID);
            }
            PeerMessage::EngineReports {
                placer,
                as_of,
                reports,
            } => {
                self.core.session.observe_peer_fence(placer);
                self.take_observed(as_of, reports);
            }
            PeerMessage::Handover { fence } => self.take_over(fence, &frame.sender),
            PeerMessage::GroupFailure {
                endpoint,
                group,
                lost,
            } => self.take_silence(&endpoint, &group, lost.as_ref()),
            _ => {}
        }
    }
}
