//! Follows the list of routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::ids::RouterId;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::gateway_core::GatewayCore;
use crate::session_keeper::ROUTER_PREFIX;
use crate::store_watch::PrefixSink;

/// Pause between two watches: each router that comes or goes wakes all others, and
/// shares of what they spend together keep room for one that is not known yet.
const ROUTER_PACE: Duration = Duration::from_millis(1_500);

/// Keeps the addresses of peers and the roll of those who share limits.
pub(crate) struct RouterSink;

impl RouterSink {
    fn take(&self, core: &GatewayCore, item: &StoredItem) {
        let Some(id) = item.key.strip_prefix(ROUTER_PREFIX).map(RouterId::from) else {
            return;
        };
        let text = String::from_utf8_lossy(&item.value);
        match text.parse::<SocketAddr>() {
            Ok(address) => {
                core.quota_divider.lock().expect("roll lock").observe(&id);
                let mut peers = core.peer_addresses.lock().expect("peer lock");
                peers.insert(id, address);
            }
            Err(error) => core.log.write(
                LogKind::Damaged,
                json!({"what": item.key, "reason": error.to_string()}),
            ),
        }
    }

    fn forget(&self, core: &GatewayCore, id: &str) {
        core.peer_addresses.lock().expect("peer lock").remove(id);
        let mut quota_divider = core.quota_divider.lock().expect("roll lock");
        quota_divider.forget(id, Instant::now());
        drop(quota_divider);
        if id == core.settings.id {
            core.session.entry_lost();
        }
    }
}

impl PrefixSink for RouterSink {
    fn prefix(&self) -> String {
        ROUTER_PREFIX.to_owned()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, _after_outage: bool) {
        let known: Vec<RouterId> = {
            let peers = core.peer_addresses.lock().expect("peer lock");
            peers.keys().cloned().collect()
        };
        let is_listed = |id: &RouterId| {
            let mut ids = range.items.iter();
            ids.any(|item| item.key.strip_prefix(ROUTER_PREFIX) == Some(id.as_str()))
        };
        for id in known.iter().filter(|id| !is_listed(id)) {
            self.forget(core, id);
        }
        for item in &range.items {
            self.take(core, item);
        }
        let mut quota_divider = core.quota_divider.lock().expect("roll lock");
        quota_divider.list_read(Instant::now());
    }

    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, _as_of: StoreVersion) {
        for event in events {
            match event {
                StoreEvent::Written(item) => self.take(core, &item),
                StoreEvent::Deleted { key, .. } => {
                    if let Some(id) = key.strip_prefix(ROUTER_PREFIX) {
                        self.forget(core, id);
                    }
                }
            }
        }
    }

    fn note_contact(&self, _core: &GatewayCore, _is_lost: bool) {}

    fn pace(&self, _core: &GatewayCore) -> Duration {
        ROUTER_PACE
    }
}
