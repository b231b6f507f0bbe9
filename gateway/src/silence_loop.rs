//! Probes groups that have fallen silent, and gives up those that do not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::GroupKey;
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

/// Probes all members of a group and gives it up if one does not answer.
///
/// A group that is known to be lost is not probed again, and only the router that
/// finds it lost by its own streams tells the others.
pub(crate) async fn examine(core: &GatewayCore, target: ServingTarget, cause: ProbeCause) {
    if core.has_lost_member(&target) {
        core.stalls.give_up(&target.endpoint);
        return;
    }
    let lost = find_lost_member(core, &target).await;
    let Some((member, reason)) = lost else {
        core.stalls.clear(&target.endpoint);
        core.queue.wake_first();
        log_verdict(core, &target, cause, "cleared", None);
        return;
    };
    core.mark_lost(&member);
    core.metrics.stalls.inc();
    let streams = core.stalls.give_up(&target.endpoint);
    log_verdict(
        core,
        &target,
        cause,
        "lost",
        Some((&member, &reason, streams)),
    );
    if let Some(group) = target.group
        && cause == ProbeCause::Silence
    {
        let message = PeerMessage::Silent {
            endpoint: target.endpoint,
            group,
            lost: member,
        };
        peer_exchange::tell_all(core, message).await;
    }
}

async fn find_lost_member(
    core: &GatewayCore,
    target: &ServingTarget,
) -> Option<(EndpointId, String)> {
    let deadline = Instant::now() + PROBE_LIMIT;
    let (sender, results) = smol::channel::unbounded();
    for (id, address) in target.members.clone() {
        core.metrics.probes.inc();
        let control = Arc::clone(&core.parts.control);
        let group = target.group.clone();
        let sender = sender.clone();
        runtime::spawn(async move {
            let verdict = probe_member(control.as_ref(), address, &group, deadline).await;
            // The receiver waits for all members.
            let _ = sender.send(verdict.map(|reason| (id, reason))).await;
        });
    }
    drop(sender);
    let mut lost = None;
    while let Ok(verdict) = results.recv().await {
        lost = lost.or(verdict);
    }
    lost
}

/// Returns why a member does not do its part; nothing when it does.
async fn probe_member(
    control: &dyn ReplicaControl,
    address: SocketAddr,
    group: &Option<GroupKey>,
    deadline: Instant,
) -> Option<String> {
    match control.probe(address, deadline).await {
        Ok(report) => {
            let key = report.membership.map(|membership| membership.key);
            let found = key
                .as_ref()
                .map_or("no group".to_owned(), ToString::to_string);
            (key != *group).then(|| format!("it is in {found}"))
        }
        Err(error) => Some(error.to_string()),
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
