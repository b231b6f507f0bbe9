//! Follows what endpoints say in their responses of the requests of this router: that they want a
//! rest, or that they shut down.

use jujuberoad::ids::EndpointId;
use jujuberoad_node::backends::ResponseHead;
use jujuberoad_node::backends::StatedRest;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::gateway_core::GatewayCore;

/// Records what a response of `endpoint` says of further requests.
pub(crate) fn observe_response(core: &GatewayCore, endpoint: &EndpointId, head: &ResponseHead) {
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
    if rest_ms.is_some() || head.is_leaving {
        core.log.write(
            LogKind::Rest,
            json!({
                "endpoint": endpoint,
                "request": head.request_id,
                "rest_ms": rest_ms,
                "leaving": head.is_leaving,
            }),
        );
    }
}
