//! Begins the store session anew when the store was restored from a copy.

use std::sync::Arc;

use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::store_session;

/// Starts the task that begins a new era of the session when the store was restored.
pub(crate) fn start(core: Arc<GatewayCore>) {
    runtime::spawn(async move {
        loop {
            let Some(known) = core.session.era() else {
                Timer::after(store_session::RENEW_INTERVAL).await;
                continue;
            };
            core.backends.store.eras().wait_beyond(known).await;
            let era = core.backends.store.eras().newest();
            core.session.begin_era(era);
            core.metrics.store_eras.inc();
            core.log.write(
                LogKind::Dependency,
                json!({"on": "store", "state": "new era", "era": era, "was": known}),
            );
            if let Err(error) = store_session::renew_session(&core).await {
                store_session::handle_failure(&core, &error);
            }
        }
    });
}
