//! Messages between routers: engine reports, group failures and handovers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::BootTime;
use jujuberoad::fleet::DeltaStep;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::LinkPace;
use jujuberoad::fleet::RegistryChange;
use jujuberoad::fleet::RegistryDelta;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Fence;
use jujuberoad::ids::Milliseconds;
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

use crate::boot_clock;
use crate::cold_watch;
use crate::digest_exchange;
use crate::gateway_core::GatewayCore;
use crate::limit_watch;
use crate::path_watch;
use crate::poison_guard;
use crate::registry_sink;
use crate::stall_probe;
use crate::stall_probe::ProbeCause;
use crate::store_hearsay;

/// Time for which a group is avoided because of a peer's message; by then the registry
/// or the placer has reported its state.
const PEER_REPORT_COOLDOWN: Duration = Duration::from_millis(2_000);
/// Shortest time between relays of registry changes. A repair is of no use to routers that
/// have not heard of it, and sending to all peers takes its own time in a large fleet.
const RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which changes of the registry are no longer relayed; receivers take the age of
/// younger ones into account.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_500);
/// Maximum reports per message, so that it fits in a datagram.
const REPORTS_PER_MESSAGE: usize = 20;

/// Changes of the registry that are relayed next.
pub(crate) struct PendingRelay {
    from: StoreVersion,
    to: StoreVersion,
    /// When the registry was as it is with the last of them.
    received_at: BootTime,
    changes: Vec<RegistryChange>,
}

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
    start_relay(Arc::clone(&core));
    store_hearsay::start(Arc::clone(&core));
    digest_exchange::start(core);
}

/// Starts the task that relays changes of the registry while this router is the placer.
///
/// One task sends them all, so that deltas leave in order, and changes that arrive while it
/// sends or waits go out together.
fn start_relay(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        // When the registry was as all earlier relays show it.
        let mut relayed_at = None;
        let mut pace = LinkPace::new(core.settings.link_bits_per_second, Instant::now());
        loop {
            Timer::after(RELAY_INTERVAL).await;
            let pending = core.relay_buffer.lock().expect("relay lock").take();
            let era = core.backends.store.eras().newest();
            let fence = core.session.announced_fence(era);
            let (Some(pending), Some(fence)) = (pending, fence) else {
                continue;
            };
            let deltas = RegistryDelta::split(pending.from, pending.to, pending.changes);
            let count = deltas.len();
            for (sent, delta) in deltas.into_iter().enumerate() {
                // A process that was suspended since must not confirm what it knew before.
                let age = boot_clock::now().saturating_sub(pending.received_at);
                if age >= MAX_RELAY_AGE {
                    core.log.write(
                        LogKind::Dependency,
                        json!({
                            "on": "peers",
                            "state": "relay cut short",
                            "sent": sent,
                            "deltas": count,
                            "age_ms": age.as_millis() as u64,
                        }),
                    );
                    break;
                }
                // The others hold a part of the changes only, so they confirm no more than before.
                let is_last = sent + 1 == count;
                let confirmed_at = relayed_at.filter(|_| !is_last);
                let confirmed_at = confirmed_at.unwrap_or(pending.received_at);
                let age = boot_clock::now().saturating_sub(confirmed_at);
                let age = if is_last || relayed_at.is_some() {
                    age
                } else {
                    MAX_RELAY_AGE
                };
                let message = PeerMessage::RegistryDelta {
                    placer: fence,
                    age_ms: age.as_millis() as Milliseconds,
                    delta,
                };
                let Some(frame) = core.peers.encode_one_way(&message) else {
                    core.log.write(
                        LogKind::Dependency,
                        json!({"on": "peers", "state": "relay does not fit", "to": pending.to}),
                    );
                    continue;
                };
                for peer in other_peers(&core) {
                    core.peers.send_frame(peer, &frame).await;
                    let now = Instant::now();
                    let next_at = pace.record(frame.len() as u64, now);
                    if next_at > now {
                        Timer::at(next_at).await;
                    }
                }
                if is_last {
                    relayed_at = Some(pending.received_at);
                }
            }
        }
    });
}

/// Adds changes of the registry to those that are relayed next. With them, the registry is as it
/// was `age` ago.
pub(crate) fn relay_changes(
    core: &GatewayCore,
    from: StoreVersion,
    to: StoreVersion,
    age: Duration,
    changes: Vec<RegistryChange>,
) {
    if !core.is_placer.load(Ordering::Relaxed) {
        return;
    }
    let mut buffer = core.relay_buffer.lock().expect("relay lock");
    let received_at = boot_clock::now().saturating_sub(age);
    match &mut *buffer {
        Some(pending) => {
            pending.to = to;
            pending.received_at = received_at;
            pending.changes.extend(changes);
        }
        None => {
            *buffer = Some(PendingRelay {
                from,
                to,
                received_at,
                changes,
            });
        }
    }
}

/// Sends engine reports to all peers if this router is the placer.
pub(crate) fn broadcast_reports(core: &Arc<GatewayCore>, updates: Vec<(EndpointId, EngineReport)>) {
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
        reports: Vec::new(),
    };
    broadcast(core, message).await;
}

/// Sends a message to all other routers.
pub(crate) async fn broadcast(core: &GatewayCore, message: PeerMessage) {
    for peer in other_peers(core) {
        core.peers.send_one_way(peer, message.clone()).await;
    }
}

/// Returns the addresses of all other routers.
pub(crate) fn other_peers(core: &GatewayCore) -> Vec<SocketAddr> {
    let addresses = core.peer_addresses.lock().expect("peer lock");
    let others = addresses.iter().filter(|(id, _)| **id != core.settings.id);
    others.map(|(_, address)| *address).collect()
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
    /// Applies reports that the placer polled from engines during a registry outage.
    fn apply_engine_reports(&self, reports: Vec<(EndpointId, EngineReport)>) {
        for (endpoint, report) in reports {
            self.core.fleet.apply_report(&endpoint, report);
        }
        self.core.queue.wake_all();
    }

    /// Applies changes of the registry that the placer has read.
    fn apply_registry_delta(&self, delta: RegistryDelta, age: Duration) {
        let core = &self.core;
        let known = core.fleet.view().registry_version;
        match delta.step(known) {
            DeltaStep::Outdated => {}
            DeltaStep::Gap => {
                core.metrics.registry_gaps.inc();
                core.log.write(
                    LogKind::Dependency,
                    json!({
                        "on": "placer",
                        "state": "changes missing",
                        "known": known,
                        "from": delta.from,
                        "to": delta.to,
                        "changes": delta.changes.len(),
                    }),
                );
                // The next watch brings what is missing.
                let now = Instant::now();
                let mut records = Vec::new();
                for change in delta.changes {
                    let Some(record) = change.into_record(now) else {
                        continue;
                    };
                    let old = core.fleet.endpoint(&record.id);
                    if old.is_some() {
                        cold_watch::observe_entry(core, old.as_ref(), &record, delta.to);
                    }
                    records.push(record);
                }
                core.fleet.apply_later_entries(&records, delta.to);
                core.queue.wake_all();
            }
            DeltaStep::Apply => {
                let now = Instant::now();
                let as_of = delta.to;
                let changes: Vec<_> = delta
                    .changes_after(known)
                    .filter(|change| registry_sink::is_endpoint_name(core, &change.endpoint))
                    .map(|change| (change.endpoint.clone(), change.into_record(now)))
                    .collect();
                // The state is as old as the message.
                let confirmed_at = now.checked_sub(age).unwrap_or(now);
                registry_sink::apply_changes(core, changes, as_of, confirmed_at);
            }
        }
    }
}

impl PeerHandler for PeerReceiver {
    fn handle_request(&self, socket: &Arc<PeerSocket>, frame: PeerFrame, from: SocketAddr) {
        match frame.message {
            PeerMessage::Ping { .. } => {
                let socket = Arc::clone(socket);
                let answer = store_hearsay::answer(&self.core);
                runtime::spawn(async move {
                    socket.send_response(from, frame.exchange, answer).await;
                });
            }
            PeerMessage::Loads { .. }
            | PeerMessage::HubQuery
            | PeerMessage::HubInfo { .. }
            | PeerMessage::MemberDigest(_)
            | PeerMessage::FleetDigest(_) => digest_exchange::receive(&self.core, frame, from),
            PeerMessage::EngineReports { placer, reports } => {
                self.core.session.observe_peer_fence(placer);
                self.apply_engine_reports(reports);
            }
            PeerMessage::RegistryDelta {
                placer,
                age_ms,
                delta,
            } => {
                self.core.session.observe_peer_fence(placer);
                self.apply_registry_delta(delta, Duration::from_millis(age_ms));
            }
            PeerMessage::Handover { fence } => self.take_over(fence, &frame.sender),
            PeerMessage::GroupFailure {
                endpoint,
                group,
                lost,
            } => {
                // What such a peer sees of groups says more of its own paths.
                let now = Instant::now();
                let relays = self.core.relays.lock().expect("relay lock");
                let is_cut_off = relays.has_lost_paths(&frame.sender, now);
                drop(relays);
                if !is_cut_off {
                    self.handle_group_failure(&endpoint, &group, lost.as_ref());
                }
            }
            PeerMessage::LostPaths(services) => {
                path_watch::observe_peer(&self.core, &frame.sender, services);
            }
            PeerMessage::CrashEvidence(evidence) => self.core.poison.observe_evidence(&evidence),
            PeerMessage::SuspectParts(parts) => self.core.poison.object(&parts),
            PeerMessage::Quarantines(notices) => {
                poison_guard::adopt(&self.core, &notices, &frame.sender);
            }
            PeerMessage::RequestLimits(notices) => {
                limit_watch::adopt(&self.core, &notices, &frame.sender);
            }
            _ => {}
        }
    }
}
