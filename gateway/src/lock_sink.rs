//! Watches the placer's lock.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;

use crate::gateway_core::GatewayCore;
use crate::store_session::PLACER_KEY;
use crate::store_watch::PrefixSink;
use crate::store_watch::ReadCause;

/// Passes changes of the lock to the session without delay, because no group is
/// repaired until a standby has acquired a free lock.
pub(crate) struct LockSink;

impl LockSink {
    fn apply_item(&self, core: &GatewayCore, item: &StoredItem) {
        core.session.observe_lock(Some((item.version, &item.value)));
    }
}

#[async_trait]
impl PrefixSink for LockSink {
    fn prefix(&self) -> String {
        PLACER_KEY.to_owned()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, _cause: ReadCause) {
        match range.items.iter().find(|item| item.key == PLACER_KEY) {
            Some(item) => self.apply_item(core, item),
            None => core.session.observe_lock(None),
        }
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
                StoreEvent::Deleted { .. } => core.session.observe_lock(None),
            }
        }
    }

    fn set_unavailable(&self, _core: &GatewayCore, _is_lost: bool) {}

    fn watch_interval(&self, _core: &GatewayCore) -> Duration {
        Duration::ZERO
    }
}
