//! Probes groups that have fallen silent, and gives up those that do not work.

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
use crate::peer_exchange;

/// Pause between two looks at the streams.
const LOOK_PACE: Duration = Duration::from_millis(20);
/// Time for a probe; a member that lives answers within a round trip of 3 ms.
const PROBE_LIMIT: Duration = Duration::from_millis(45);

/// Why a group is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ProbeCause {
    /// Streams of this router have had no event.
    Silence,
    /// A peer has found it lost.
    Peer,
}

/// Looks for ever.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(LOOK_PACE).await;
            for target in core.stalls.due_probes(Instant::now()) {
                let core = Arc::clone(&core);
                runtime::spawn(async move { examine(&core, target, ProbeCause::Silence).await });
            }
        }
    });
}

/// Probes all members of a group and gives it up if one does not do its part.
///
/// A group that is known to be lost is not probed again, and only the router that
/// finds it lost by its own streams tells the others.
pub(crate) async fn examine(core: &GatewayCore, target: ServingTarget, cause: ProbeCause) {
    if core.is_broken(&target) {
        core.stalls.give_up(&target.endpoint);
        return;
    }
    let Some((member, fault)) = find_fault(core, &target).await else {
        core.stalls.clear(&target.endpoint);
        core.queue.wake_first();
        log_verdict(core, &target, cause, "cleared", None);
        return;
    };
    let mut streams = 0;
    match &fault {
        MemberFault::Silent { .. } => {
            core.mark_lost(&member);
            streams = core.stalls.give_up(&target.endpoint);
        }
        MemberFault::Moved { .. } => {
            core.avoid_group(&target);
            streams = core.stalls.give_up(&target.endpoint);
        }
        // Its streams are late but move; the router that forms groups replaces it.
        MemberFault::Slow { .. } => {
            core.stalls.clear(&target.endpoint);
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
    if cause == ProbeCause::Silence {
        tell_peers(core, target, member, &fault).await;
    }
}

async fn tell_peers(
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
    peer_exchange::tell_all(core, message).await;
}

/// Returns the first member that does not do its part; one that is only slow after
/// all others.
async fn find_fault(
    core: &GatewayCore,
    target: &ServingTarget,
) -> Option<(EndpointId, MemberFault)> {
    let deadline = Instant::now() + PROBE_LIMIT;
    let (sender, results) = smol::channel::unbounded();
    for (id, address) in target.members.clone() {
        core.metrics.probes.inc();
        let control = Arc::clone(&core.parts.control);
        let group = target.group.clone();
        let sender = sender.clone();
        runtime::spawn(async move {
            let fault = probe_member(control.as_ref(), address, &group, deadline).await;
            // The receiver waits for all members.
            let _ = sender.send(fault.map(|fault| (id, fault))).await;
        });
    }
    drop(sender);
    let mut found: Option<(EndpointId, MemberFault)> = None;
    while let Ok(result) = results.recv().await {
        let Some((id, fault)) = result else {
            continue;
        };
        if found
            .as_ref()
            .is_none_or(|(_, known)| fault.rank() < known.rank())
        {
            found = Some((id, fault));
        }
    }
    found
}

/// Returns why a member does not do its part; nothing when it does.
async fn probe_member(
    control: &dyn ReplicaControl,
    address: SocketAddr,
    group: &Option<GroupKey>,
    deadline: Instant,
) -> Option<MemberFault> {
    match control.probe(address, deadline).await {
        Ok(report) => MemberFault::of_report(&report, group.as_ref()),
        Err(error) => Some(MemberFault::Silent {
            reason: error.to_string(),
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
