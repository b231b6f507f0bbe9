//! Probes groups whose streams have stalled and signals the streams of groups that do not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::GroupKey;
use jujuberoad::fleet::MemberFault;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::ids::EndpointId;
use jujuberoad::peer::PeerMessage;
use jujuberoad_node::backends::ReplicaControl;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::path_watch;
use crate::peer_exchange;

/// Interval between checks for stalled streams.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for a probe; a live member answers within a round trip of 3 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(45);

/// Why a group is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ProbeCause {
    /// This router's streams to the group have received no events.
    Silence,
    /// A peer reported the group as lost.
    Peer,
}

/// Starts the loop that probes stalled groups.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(STALL_CHECK_INTERVAL).await;
            for target in core.stalls.due_probes(Instant::now()) {
                let core = Arc::clone(&core);
                runtime::spawn(
                    async move { probe_group(&core, target, ProbeCause::Silence).await },
                );
            }
        }
    });
}

/// Probes all members of a group; if one is faulty, avoids it or the group and signals
/// the group's streams unless the member is only slow.
///
/// A group known to be broken is not probed again. Only a router that detected the
/// fault through its own streams notifies its peers.
pub(crate) async fn probe_group(core: &GatewayCore, target: ServingTarget, cause: ProbeCause) {
    if core.is_unusable(&target) {
        core.stalls.signal_streams(&target.endpoint);
        return;
    }
    let Some((member, fault)) = find_fault(core, &target).await else {
        core.stalls.clear_suspect(&target.endpoint);
        core.queue.wake_first();
        log_verdict(core, &target, cause, "cleared", None);
        return;
    };
    let mut streams = 0;
    match &fault {
        MemberFault::Unresponsive { kind, .. } => {
            core.mark_silent(&member, *kind);
            streams = core.stalls.signal_streams(&target.endpoint);
        }
        MemberFault::Moved { .. } => {
            core.avoid_group(&target);
            streams = core.stalls.signal_streams(&target.endpoint);
        }
        // The streams are slow but progress; the placer replaces the member.
        MemberFault::Slow { .. } => {
            core.stalls.clear_suspect(&target.endpoint);
            if !core.mark_slow(&member) {
                log_verdict(core, &target, cause, "too many are slow", None);
                return;
            }
        }
    }
    core.metrics.stalls.inc();
    let reason = fault.to_string();
    let found = Some((&member, reason.as_str(), streams));
    log_verdict(core, &target, cause, fault.name(), found);
    // While the path of this router is in doubt, what it sees says little of the group.
    let is_path_doubtful = path_watch::is_doubtful(core, &target.endpoint);
    if cause == ProbeCause::Silence && !is_path_doubtful {
        notify_peers(core, target, member, &fault).await;
    }
}

async fn notify_peers(
    core: &GatewayCore,
    target: ServingTarget,
    member: EndpointId,
    fault: &MemberFault,
) {
    let Some(group) = target.group else {
        return;
    };
    let has_moved = matches!(fault, MemberFault::Moved { .. });
    let message = PeerMessage::GroupFailure {
        endpoint: target.endpoint,
        group,
        lost: (!has_moved).then_some(member),
    };
    peer_exchange::broadcast(core, message).await;
}

/// Probes all members and returns the fault of the lowest rank, or `None` if all are
/// healthy; a member that is only slow ranks last.
async fn find_fault(
    core: &GatewayCore,
    target: &ServingTarget,
) -> Option<(EndpointId, MemberFault)> {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let (sender, results) = smol::channel::unbounded();
    for (id, address) in target.members.clone() {
        core.metrics.probes.inc();
        let control = Arc::clone(&core.backends.control);
        let group = target.group.clone();
        let sender = sender.clone();
        runtime::spawn(async move {
            let fault = probe_member(control.as_ref(), address, &group, deadline).await;
            // The receiver outlives all senders.
            let _ = sender.send((id, fault)).await;
        });
    }
    drop(sender);
    let mut found: Option<(EndpointId, MemberFault)> = None;
    while let Ok(result) = results.recv().await {
        let (id, fault) = result;
        let silence = match &fault {
            Some(MemberFault::Unresponsive { kind, .. }) => Some(*kind),
            _ => None,
        };
        path_watch::observe_probe(core, &id, silence);
        let Some(fault) = fault else {
            continue;
        };
        if found
            .as_ref()
            .is_none_or(|(_, known)| fault.precedence() < known.precedence())
        {
            found = Some((id, fault));
        }
    }
    found
}

/// Returns the fault of a member, or `None` if it is healthy.
async fn probe_member(
    control: &dyn ReplicaControl,
    address: SocketAddr,
    group: &Option<GroupKey>,
    deadline: Instant,
) -> Option<MemberFault> {
    match control.probe(address, deadline).await {
        Ok(report) => MemberFault::from_report(&report, group.as_ref()),
        Err(error) => Some(MemberFault::Unresponsive {
            reason: error.to_string(),
            kind: error.silence_kind(),
        }),
    }
}

fn log_verdict(
    core: &GatewayCore,
    target: &ServingTarget,
    cause: ProbeCause,
    verdict: &str,
    lost: Option<(&EndpointId, &str, usize)>,
) {
    core.log.write(
        LogKind::Suspicion,
        json!({
            "group": target.group.as_ref().map(ToString::to_string),
            "endpoint": target.endpoint,
            "cause": cause.to_string(),
            "verdict": verdict,
            "lost": lost.map(|(member, _, _)| member),
            "reason": lost.map(|(_, reason, _)| reason),
            "streams": lost.map(|(_, _, streams)| streams),
        }),
    );
}
