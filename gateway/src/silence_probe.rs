//! Tells endpoints that pause from those that are lost, for the placer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::EndpointId;
use jujuberoad_node::runtime;

use crate::gateway_core::GatewayCore;

/// Timeout for a probe; a live endpoint answers within a round trip of 3 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Probes the silent endpoints that are due. One that answers is avoided no longer; one that
/// refuses connections counts as lost at once.
pub(crate) fn probe_silent(core: &Arc<GatewayCore>) {
    let due = core.avoided().take_due_probes(Instant::now());
    for endpoint in due {
        let core = Arc::clone(core);
        runtime::spawn(async move { probe_endpoint(&core, &endpoint).await });
    }
}

async fn probe_endpoint(core: &GatewayCore, endpoint: &EndpointId) {
    let Some(record) = core.fleet.endpoint(endpoint) else {
        return;
    };
    if record.membership.is_none() {
        return;
    }
    core.metrics.probes.inc();
    let deadline = Instant::now() + PROBE_TIMEOUT;
    match core.backends.control.probe(record.address, deadline).await {
        Ok(report) => {
            core.fleet.apply_report(endpoint, report);
            core.clear_unreachable(endpoint);
        }
        Err(error) => {
            let kind = error.silence_kind();
            core.avoided().observe_probe(endpoint, kind, Instant::now());
        }
    }
}
