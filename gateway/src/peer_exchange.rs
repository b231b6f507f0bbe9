//! Messages between routers: load digests, engine reports, group failures and handovers.

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
use crate::stall_probe;
use crate::stall_probe::ProbeCause;

/// Base interval between load digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the interval for each peer, so that the message rate of a router stays
/// bounded as the fleet grows.
const DIGEST_INTERVAL_PER_PEER: Duration = Duration::from_millis(5);
/// Time for which a peer's digest is valid; it spans several digests, because datagrams
/// may be lost.
const DIGEST_LIFETIME: Duration = Duration::from_millis(600);

/// Time for which a group is avoided because of a peer's message; by then the registry
/// or the placer has reported its state.
const PEER_REPORT_COOLDOWN: Duration = Duration::from_millis(2_000);
/// Maximum reports per message, so that it fits in a datagram.
const REPORTS_PER_MESSAGE: usize = 20;

/// Handles messages from peers.
pub(crate) struct PeerReceiver {
    core: Arc<GatewayCore>,
}

/// Starts sending load digests and handling messages from peers.
pub(crate) fn start(core: Arc<GatewayCore>) {
    let handler = Arc::new(PeerReceiver {
        core: Arc::clone(&core),
    });
    runtime::spawn(Arc::clone(&core.peers).run(handler));
    runtime::spawn(async move {
        loop {
            let peers = {
                let addresses = core.peer_addresses.lock().expect("peer lock");
                addresses.len() as u32
            };
            Timer::after(DIGEST_INTERVAL + DIGEST_INTERVAL_PER_PEER * peers).await;
            let loads = {
                let mut loads = core.loads.lock().expect("load lock");
                loads.expire(Instant::now());
                let own = loads.own();
                own.map(|(endpoint, load)| (endpoint.clone(), *load))
                    .collect()
            };
            let era = core.backends.store.eras().newest();
            let placer = core.session.announced_fence(era);
            broadcast(&core, PeerMessage::Loads { loads, placer }).await;
        }
    });
}

/// Sends engine reports to all peers if this router is the placer.
pub(crate) fn broadcast_reports(
    core: &Arc<GatewayCore>,
    as_of: Option<StoreVersion>,
    updates: Vec<(EndpointId, EngineReport)>,
) {
    let Some(fence) = core.order_fence() else {
        return;
    };
    if updates.is_empty() {
        return;
    }
    let core = Arc::clone(core);
    runtime::spawn(async move {
        for reports in updates.chunks(REPORTS_PER_MESSAGE) {
            let message = PeerMessage::EngineReports {
                placer: fence,
                as_of,
                reports: reports.to_vec(),
            };
            broadcast(&core, message).await;
        }
    });
}

/// Tells all peers the fence of a lock that was just acquired, so that a former holder that
/// is cut off from the store stops.
pub(crate) async fn announce_fence(core: &GatewayCore) {
    let era = core.backends.store.eras().newest();
    let Some(placer) = core.session.announced_fence(era) else {
        return;
    };
    let message = PeerMessage::EngineReports {
        placer,
        as_of: None,
        reports: Vec::new(),
    };
    broadcast(core, message).await;
}

/// Sends a message to all other routers.
pub(crate) async fn broadcast(core: &GatewayCore, message: PeerMessage) {
    let peers: Vec<SocketAddr> = {
        let addresses = core.peer_addresses.lock().expect("peer lock");
        let others = addresses.iter().filter(|(id, _)| **id != core.settings.id);
        others.map(|(_, address)| *address).collect()
    };
    for peer in peers {
        core.peers.send_one_way(peer, message.clone()).await;
    }
}

impl PeerReceiver {
    fn take_over(&self, fence: Fence, from: &RouterId) {
        if self.core.session.take_over(fence) {
            self.core.log.write(
                LogKind::Lease,
                json!({"fence": fence, "state": "taken over", "from": from}),
            );
        }
    }
}

impl PeerReceiver {
    /// Probes a group that a peer reported as failed if this router has streams to it or
    /// is the placer; otherwise avoids the group for a while without a probe.
    fn handle_group_failure(
        &self,
        endpoint: &EndpointId,
        group: &GroupKey,
        lost: Option<&EndpointId>,
    ) {
        let core = &self.core;
        let target = if core.stalls.has_streams(endpoint) {
            core.stalls.expedite_probe(endpoint)
        } else if core.is_placer.load(Ordering::Relaxed) {
            let view = core.fleet.view();
            let mut targets = view.targets.iter();
            targets.find(|target| target.endpoint == *endpoint).cloned()
        } else {
            core.avoid_group_for(group, PEER_REPORT_COOLDOWN);
            if let Some(lost) = lost {
                core.mark_unreachable_for(lost, PEER_REPORT_COOLDOWN);
            }
            None
        };
        let Some(target) = target else {
            return;
        };
        let core = Arc::clone(core);
        runtime::spawn(async move {
            stall_probe::probe_group(&core, target, ProbeCause::Peer).await;
        });
    }
}

impl PeerReceiver {
    /// Applies engine reports of the placer, which it read from the registry at version
    /// `as_of` or, if that is `None`, from engines during a registry outage.
    fn apply_engine_reports(
        &self,
        as_of: Option<StoreVersion>,
        reports: Vec<(EndpointId, EngineReport)>,
    ) {
        let fleet = &self.core.fleet;
        let known = fleet.view().registry_version;
        for (endpoint, report) in reports {
            match as_of {
                Some(version) if version > known => fleet.apply_peer_report(&endpoint, report),
                Some(_) => continue,
                None => {
                    fleet.apply_report(&endpoint, report);
                }
            }
        }
        self.core.queue.wake_all();
    }
}

impl PeerHandler for PeerReceiver {
    fn handle_request(&self, _socket: &Arc<PeerSocket>, frame: PeerFrame, _from: SocketAddr) {
        match frame.message {
            PeerMessage::Loads { loads, placer } => {
                if let Some(fence) = placer {
                    self.core.session.observe_peer_fence(fence);
                }
                let now = Instant::now();
                let mut table = self.core.loads.lock().expect("load lock");
                table.observe_peer(frame.sender, loads, now, now + DIGEST_LIFETIME);
            }
            PeerMessage::EngineReports {
                placer,
                as_of,
                reports,
            } => {
                self.core.session.observe_peer_fence(placer);
                self.apply_engine_reports(as_of, reports);
            }
            PeerMessage::Handover { fence } => self.take_over(fence, &frame.sender),
            PeerMessage::GroupFailure {
                endpoint,
                group,
                lost,
            } => self.handle_group_failure(&endpoint, &group, lost.as_ref()),
            _ => {}
        }
    }
}
