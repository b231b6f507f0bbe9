//! Keeps the paces of targets up to date and logs their steps.

use std::sync::MutexGuard;
use std::time::Instant;

use jujuberoad::fleet::LoadTable;
use jujuberoad::fleet::ServingTarget;
use jujuberoad::fleet::TargetTable;
use jujuberoad::pace::PaceStep;
use jujuberoad::pace::PaceTable;
use jujuberoad::pace::TargetAnswer;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;

/// Locks the paces and compares them with the registry if that is due; `is_excluded` tells which
/// targets get no requests of this router.
pub(crate) fn lock_current<'a>(
    core: &'a GatewayCore,
    table: &TargetTable,
    loads: &LoadTable,
    is_excluded: &dyn Fn(&ServingTarget) -> bool,
    now: Instant,
) -> MutexGuard<'a, PaceTable> {
    let mut paces = core.paces.lock().expect("pace lock");
    if paces.is_refresh_due(now) {
        let steps = paces.refresh(table.pools(), loads, is_excluded, now);
        log_steps(core, &steps);
    }
    paces
}

/// Records that `target` has answered a request that was sent at `sent_at`: a stream with its
/// first event, another request with a whole response.
pub(crate) fn observe_answer(
    core: &GatewayCore,
    request: &CallerRequest,
    target: &ServingTarget,
    sent_at: Instant,
) {
    if !core.paces_targets() {
        return;
    }
    let now = Instant::now();
    let waited = sent_at.saturating_duration_since(request.received_at);
    let answer = TargetAnswer {
        objective_ms: request.route.objective_ms,
        longest_pause_ms: request.route.max_event_gap_ms,
        prompt_tokens: request.head.prompt_tokens,
        waited_ms: request.age_at_arrival_ms + waited.as_millis() as u64,
        took_ms: now.saturating_duration_since(sent_at).as_millis() as u64,
    };
    let loads = core.loads.lock().expect("load lock");
    let mut paces = core.paces.lock().expect("pace lock");
    let (outcome, step) = paces.observe(target, &answer, &loads, now);
    drop(paces);
    drop(loads);
    if let Some(outcome) = outcome {
        let is_on_time = outcome.late == 0;
        core.digests.record_outcome(&target.endpoint, is_on_time);
    }
    log_steps(core, step.as_slice());
}

/// Takes over the answers that peers have reported since the last call.
pub(crate) fn adopt_outcomes(core: &GatewayCore) {
    let outcomes: Vec<_> = core.digests.take_outcomes().into_iter().collect();
    if outcomes.is_empty() || !core.paces_targets() {
        return;
    }
    let loads = core.loads.lock().expect("load lock");
    let mut paces = core.paces.lock().expect("pace lock");
    let steps = paces.observe_peers(&outcomes, &loads, Instant::now());
    drop(paces);
    drop(loads);
    log_steps(core, &steps);
}

/// Logs starts and cuts.
pub(crate) fn log_steps(core: &GatewayCore, steps: &[PaceStep]) {
    for step in steps {
        core.log.write(
            LogKind::Pace,
            json!({
                "endpoint": step.endpoint,
                "cause": step.cause.to_string(),
                "from": step.from,
                "to": step.to,
            }),
        );
    }
}
