//! Digests of load from and to peers.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Instant;

use jujuberoad::fleet::DigestInput;
use jujuberoad::fleet::DigestPlanner;
use jujuberoad::fleet::DigestTick;
use jujuberoad::fleet::OutcomeSums;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::RouterId;
use jujuberoad::membership::HubStep;
use jujuberoad::peer::PeerDigest;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use jujuberoad::peer::PoolWaiting;
use jujuberoad::peer::VersionNote;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::gateway_settings::GatewaySettings;
use crate::target_paces;

/// Exchange of digests with peers.
///
/// Other modules give it what this router has to report and take what others have reported:
///
/// - [`Self::record_outcome`] adds an answer of an endpoint. It is passed on once to each receiver.
/// - [`Self::take_outcomes`] returns the answers that other routers have reported. Those of this
///   router are not among them.
/// - [`Self::fleet_waiting`] returns what waits at all other routers.
///
/// In a fleet that exchanges `Loads` only, [`Self::take_outcomes`] and [`Self::fleet_waiting`]
/// return nothing.
pub(crate) struct DigestExchange {
    planner: Mutex<DigestPlanner>,
}

impl DigestExchange {
    /// Creates the exchange of a router with `settings`.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let (id, zone) = (settings.id.clone(), settings.zone.clone());
        let cpu = settings.cpu_millicores;
        let is_member = cpu < settings.member_below_millicores;
        Self {
            planner: Mutex::new(DigestPlanner::new(id, zone, cpu, is_member)),
        }
    }

    /// Records an answer of an endpoint to this router, for the digests to peers.
    pub(crate) fn record_outcome(&self, endpoint: &EndpointId, on_time: bool) {
        self.planner().sum_mut().record_outcome(endpoint, on_time);
    }

    /// Returns the answers that other routers have reported since the last call, by endpoint.
    pub(crate) fn take_outcomes(&self) -> OutcomeSums {
        self.planner().sum_mut().take_outcomes()
    }

    /// Returns what waits at all other routers as their digests of the last 600 ms report it, by
    /// pool, priority and team.
    pub(crate) fn fleet_waiting(&self, now: Instant) -> Vec<PoolWaiting> {
        self.planner().sum().fleet_waiting(now)
    }

    /// Returns the number of members of this router.
    pub(crate) fn member_count(&self) -> usize {
        self.planner().table().members().count()
    }

    /// Returns the newest version that a peer has applied, with its age as of `now`.
    pub(crate) fn newest_note(&self, now: Instant) -> Option<VersionNote> {
        self.planner().sum().newest_note(now)
    }

    /// Returns the same note if this router is a member and has it from its hub.
    pub(crate) fn hub_note(&self, now: Instant) -> Option<VersionNote> {
        let planner = self.planner();
        let follows_hub = planner.table().follows_hub();
        follows_hub.then(|| planner.sum().newest_note(now))?
    }

    /// Locks the planner. The lock of the loads is taken after it, never before.
    fn planner(&self) -> MutexGuard<'_, DigestPlanner> {
        self.planner.lock().expect("digest lock")
    }
}

/// Handles a message about load.
pub(crate) fn receive(core: &Arc<GatewayCore>, frame: PeerFrame, from: SocketAddr) {
    let placer = match &frame.message {
        PeerMessage::Loads { placer, .. } => *placer,
        PeerMessage::MemberDigest(digest) | PeerMessage::FleetDigest(digest) => digest.placer,
        _ => None,
    };
    if let Some(fence) = placer {
        core.session.observe_peer_fence(fence);
    }
    let now = Instant::now();
    let (count, is_listed) = {
        let peers = core.peer_addresses.lock().expect("peer lock");
        (peers.len(), peers.contains_key(&frame.sender))
    };
    let mut planner = core.digests.planner();
    let mut loads = core.loads.lock().expect("load lock");
    let answer = planner.receive(
        &frame.sender,
        frame.message,
        &mut loads,
        count,
        is_listed,
        now,
    );
    drop((loads, planner));
    if let Some(answer) = answer {
        let core = Arc::clone(core);
        runtime::spawn(async move {
            core.peers.send_one_way(from, answer).await;
        });
    }
}

/// Starts the task that sends digests.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            target_paces::adopt_outcomes(&core);
            let (addresses, tick) = tick(&core);
            log_step(&core, &tick.step);
            for send in tick.sends {
                let Some(frame) = encode(&core, send.message) else {
                    continue;
                };
                for position in send.receivers {
                    core.peers.send_frame(addresses[position], &frame).await;
                }
            }
            Timer::at(tick.next_at).await;
        }
    });
}

/// Returns the addresses of the other routers and what is due for them now.
fn tick(core: &GatewayCore) -> (Vec<SocketAddr>, DigestTick) {
    let (peers, addresses): (Vec<RouterId>, Vec<SocketAddr>) = {
        let known = core.peer_addresses.lock().expect("peer lock");
        let others = known.iter().filter(|(id, _)| **id != core.settings.id);
        others.map(|(id, address)| (id.clone(), *address)).unzip()
    };
    let targets = core.fleet.view().targets;
    let rates = OnceCell::new();
    let rate = |endpoint: &EndpointId| {
        let rates: &HashMap<&EndpointId, f64> = rates.get_or_init(|| {
            let targets = targets.iter();
            targets
                .map(|target| (&target.endpoint, target.prefill_ms_per_token))
                .collect()
        });
        rates.get(endpoint).copied().unwrap_or_default()
    };
    let era = core.backends.store.eras().newest();
    let cpu = core.settings.cpu_millicores;
    let now = Instant::now();
    let waiting = if core.orders_waiting() {
        core.pool_activity.own_waiting(now)
    } else {
        Vec::new()
    };
    let mut own = PeerDigest {
        least_cpu_millicores: cpu,
        most_cpu_millicores: cpu,
        loads: Vec::new(),
        placer: core.session.announced_fence(era),
        waiting,
        outcomes: Vec::new(),
        operator_version: core.version_notes.tracker().note(now),
    };
    let mut planner = core.digests.planner();
    let mut loads = core.loads.lock().expect("load lock");
    loads.expire(now);
    own.loads = loads.own().map(|(id, load)| (id.clone(), *load)).collect();
    let input = DigestInput {
        own,
        loads: &loads,
        peers: &peers,
        prefill_ms_per_token: &rate,
        // Otherwise the messages of a fleet without members stay as they were.
        always_announces: core.orders_waiting() || core.paces_targets(),
    };
    let tick = planner.tick(input, now);
    let is_uneven = planner.is_uneven(now);
    core.is_fleet_uneven.store(is_uneven, Ordering::Relaxed);
    (addresses, tick)
}

fn log_step(core: &GatewayCore, step: &HubStep) {
    if let Some(hub) = &step.lost {
        let fields = json!({"hub": hub, "state": "lost"});
        core.log.write(LogKind::Hub, fields);
    }
    if let Some(hub) = &step.chosen {
        let fields = json!({"hub": hub, "state": "chosen", "was": step.left});
        core.log.write(LogKind::Hub, fields);
    }
}

/// Encodes a message. A digest that does not fit in a datagram goes without outcomes and what
/// waits.
fn encode(core: &GatewayCore, message: PeerMessage) -> Option<Vec<u8>> {
    if let Some(frame) = core.peers.encode_one_way(&message) {
        return Some(frame);
    }
    let shorten = |digest: PeerDigest| PeerDigest {
        waiting: Vec::new(),
        outcomes: Vec::new(),
        ..digest
    };
    let shortened = match message {
        PeerMessage::MemberDigest(digest) => PeerMessage::MemberDigest(shorten(digest)),
        PeerMessage::FleetDigest(digest) => PeerMessage::FleetDigest(shorten(digest)),
        other => other,
    };
    let frame = core.peers.encode_one_way(&shortened);
    let state = if frame.is_some() {
        "shortened"
    } else {
        "too long"
    };
    core.log.write(LogKind::Hub, json!({"digest": state}));
    frame
}
