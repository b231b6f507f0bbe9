//! Follows what endpoints say in their responses of the requests of this router: that they want a
//! rest, or that they shut down.

use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Milliseconds;
use jujuberoad_node::backends::ResponseHead;
use jujuberoad_node::backends::StatedRest;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::gateway_core::GatewayCore;

/// Longest rest that an endpoint gets. A faulty value must not take it out of use for good.
const MAX_REST: Duration = Duration::from_secs(600);

/// Records the rest that a response of `endpoint` to a request of this router asks for.
pub(crate) fn observe_rest(core: &GatewayCore, endpoint: &EndpointId, head: &ResponseHead) {
    let rest_ms = match head.rest {
        StatedRest::None => None,
        StatedRest::For(rest_ms) => Some(rest_ms),
        StatedRest::Invalid => {
            core.log.write(
                LogKind::Damaged,
                json!({"what": "rest", "endpoint": endpoint, "request": head.request_id}),
            );
            None
        }
    };
    if rest_ms.is_some_and(|rest_ms| mark_resting(core, endpoint, rest_ms)) {
        core.log.write(
            LogKind::Rest,
            json!({"endpoint": endpoint, "request": head.request_id, "rest_ms": rest_ms}),
        );
    }
}

/// Records that an endpoint has said in a response that it leaves.
pub(crate) fn observe_leaving(core: &GatewayCore, endpoint: &EndpointId) {
    if core.fleet.mark_leaving(endpoint) {
        core.log.write(
            LogKind::Endpoint,
            json!({"endpoint": endpoint, "state": "draining", "by": "its response"}),
        );
    }
}

/// Sends nothing to an endpoint for the rest that it asks for; returns whether the rest is a new
/// one.
fn mark_resting(core: &GatewayCore, endpoint: &EndpointId, rest_ms: Milliseconds) -> bool {
    let now = Instant::now();
    let rest = Duration::from_millis(rest_ms).min(MAX_REST);
    if rest.is_zero() {
        return false;
    }
    core.metrics.rests.inc();
    core.avoided().mark_resting(endpoint, now, now + rest)
}
