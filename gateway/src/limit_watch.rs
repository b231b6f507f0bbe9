//! Follows the limits on the rate of requests that endpoints name in their responses.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::LimitStatement;
use jujuberoad::ids::EndpointId;
use jujuberoad_node::backends::ResponseHead;
use jujuberoad_node::backends::StatedLimit;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;

/// Interval at which the state of endpoints that are gone is removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the loop that removes the state of endpoints that are gone.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            Timer::after(PRUNE_INTERVAL).await;
            let table = core.fleet.table();
            let registered: BTreeSet<&EndpointId> = table.iter().map(|record| &record.id).collect();
            let now = Instant::now();
            {
                let mut limits = core.limits.lock().expect("limit lock");
                limits.prune(now, |endpoint| registered.contains(endpoint));
                core.metrics.limited_endpoints.set(limits.len() as i64);
            }
            core.pacer.lock().expect("pacer lock").prune(now);
        }
    });
}

/// Records what a response that has just arrived says of the rate of requests that `endpoint`
/// takes; the request was sent at `asked_at`.
pub(crate) fn observe_response(
    core: &GatewayCore,
    endpoint: &EndpointId,
    head: &ResponseHead,
    asked_at: Instant,
) {
    let limit = match head.request_limit {
        StatedLimit::None => None,
        StatedLimit::Rate(rate) => Some(rate),
        StatedLimit::Invalid => {
            core.log.write(
                LogKind::Damaged,
                json!({"what": "request limit", "endpoint": endpoint, "request": head.request_id}),
            );
            return;
        }
    };
    let statement = LimitStatement {
        limit,
        asked_at,
        answered_at: Instant::now(),
    };
    let mut limits = core.limits.lock().expect("limit lock");
    if !limits.observe(endpoint, statement) {
        return;
    }
    drop(limits);
    core.log.write(
        LogKind::Limit,
        json!({
            "endpoint": endpoint,
            "per_1000_s": limit,
            "state": if limit.is_some() { "named" } else { "lifted" },
        }),
    );
}
