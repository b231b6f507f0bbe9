//! Watches the list of routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::ids::RouterId;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::store_session::ROUTER_PREFIX;
use crate::store_watch::PrefixSink;
use crate::store_watch::ReadCause;

/// Delay between watches, because each router that joins or leaves wakes all others. A
/// late update is acceptable: shares of common limits leave room for one unknown router.
const ROUTER_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time for which a router that is missing after a restore of the store still counts.
/// Routers register anew within a renewal interval and a call.
const REGISTRATION_GRACE: Duration = Duration::from_millis(3_000);

/// Maintains the addresses of peers and the list of routers that share limits.
pub(crate) struct RouterSink;

impl RouterSink {
    fn apply_item(&self, core: &GatewayCore, item: &StoredItem) {
        let Some(id) = item.key.strip_prefix(ROUTER_PREFIX).map(RouterId::from) else {
            return;
        };
        let text = String::from_utf8_lossy(&item.value);
        match text.parse::<SocketAddr>() {
            Ok(address) => {
                let mut unconfirmed = core.unconfirmed_routers.lock().expect("router lock");
                unconfirmed.remove(&id);
                drop(unconfirmed);
                core.quota_divider
                    .lock()
                    .expect("quota divider lock")
                    .add(&id);
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
        let mut peers = core.peer_addresses.lock().expect("peer lock");
        peers.remove(id);
        let mut relays = core.relays.lock().expect("relay lock");
        relays.retain(|peer| peers.contains_key(peer));
        drop((peers, relays));
        let mut quota_divider = core.quota_divider.lock().expect("quota divider lock");
        quota_divider.remove(id, Instant::now());
        drop(quota_divider);
        if id == core.settings.id {
            core.session.mark_entry_lost();
        }
    }
}

impl RouterSink {
    /// Keeps routers that are missing after a restore of the store until they have had time
    /// to register again, so that no router takes itself for the only one.
    fn forget_later(&self, core: &Arc<GatewayCore>, missing: Vec<RouterId>) {
        if missing.is_empty() {
            return;
        }
        let mut unconfirmed = core.unconfirmed_routers.lock().expect("router lock");
        unconfirmed.extend(missing);
        drop(unconfirmed);
        let core = Arc::clone(core);
        runtime::spawn(async move {
            Timer::after(REGISTRATION_GRACE).await;
            let missing = {
                let mut unconfirmed = core.unconfirmed_routers.lock().expect("router lock");
                std::mem::take(&mut *unconfirmed)
            };
            for id in missing {
                RouterSink.forget(&core, &id);
            }
        });
    }
}

#[async_trait]
impl PrefixSink for RouterSink {
    fn prefix(&self) -> String {
        ROUTER_PREFIX.to_owned()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, cause: ReadCause) {
        let known: Vec<RouterId> = {
            let peers = core.peer_addresses.lock().expect("peer lock");
            peers.keys().cloned().collect()
        };
        let is_listed = |id: &RouterId| {
            let mut ids = range.items.iter();
            ids.any(|item| item.key.strip_prefix(ROUTER_PREFIX) == Some(id.as_str()))
        };
        let missing: Vec<RouterId> = known.into_iter().filter(|id| !is_listed(id)).collect();
        if cause == ReadCause::Restore {
            self.forget_later(core, missing);
        } else {
            for id in &missing {
                self.forget(core, id);
            }
        }
        for item in &range.items {
            self.apply_item(core, item);
        }
        let mut quota_divider = core.quota_divider.lock().expect("quota divider lock");
        quota_divider.list_read(Instant::now());
    }

    fn apply(
        &self,
        core: &Arc<GatewayCore>,
        events: Vec<StoreEvent>,
        _as_of: StoreVersion,
        _may_be_cut: bool,
    ) {
        for event in events {
            match event {
                StoreEvent::Written(item) => self.apply_item(core, &item),
                StoreEvent::Deleted { key, .. } => {
                    if let Some(id) = key.strip_prefix(ROUTER_PREFIX) {
                        self.forget(core, id);
                    }
                }
            }
        }
    }

    fn set_unavailable(&self, _core: &GatewayCore, _is_lost: bool) {}

    fn watch_interval(&self, _core: &GatewayCore) -> Duration {
        ROUTER_INTERVAL
    }
}
