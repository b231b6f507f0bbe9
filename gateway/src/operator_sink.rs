//! Watches the configuration and the evacuated zones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::ids::StoreVersion;
use jujuberoad::ids::ZoneId;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::store_watch::PrefixSink;
use crate::store_watch::ReadCause;
use crate::version_notes;

/// Time for which a mark that is missing after a restore of the store stays in force. The
/// operator writes its marks again within seconds.
const EVACUATION_GRACE: Duration = Duration::from_secs(5);

/// Applies what the operator writes to the store.
pub(crate) struct OperatorSink {
    pub(crate) prefix: String,
}

impl OperatorSink {
    fn apply_item(&self, core: &GatewayCore, item: StoredItem) {
        let dialect = &core.backends.dialect;
        if let Some(zone) = dialect.evacuated_zone(&item.key) {
            if core.fleet.evacuate(zone.clone(), item.version) {
                core.log.write(
                    LogKind::Evacuation,
                    json!({"zone": zone, "state": "out", "version": item.version}),
                );
            }
            return;
        }
        if !dialect.is_config_key(&item.key) {
            return;
        }
        match dialect.decode_config(&item.value) {
            Ok(config) => {
                let (version, routes) = (config.version, config.route_count());
                let is_new = core.fleet.set_config(config, item.version);
                if is_new {
                    core.log.write(
                        LogKind::Config,
                        json!({"config": version, "version": item.version, "routes": routes}),
                    );
                }
                core.queue.wake_all();
            }
            Err(error) => core.log.write(
                LogKind::Damaged,
                json!({
                    "what": error.subject,
                    "reason": error.message,
                    "kept": "the previous configuration",
                }),
            ),
        }
    }
}

#[async_trait]
impl PrefixSink for OperatorSink {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, cause: ReadCause) {
        let dialect = &core.backends.dialect;
        let (era, as_of, read_at) = (range.era, range.as_of, Instant::now());
        let newest = range.items.iter().map(|item| item.version).max();
        let evacuated: Vec<_> = range
            .items
            .iter()
            .filter_map(|item| dialect.evacuated_zone(&item.key))
            .collect();
        for zone in core.fleet.evacuated() {
            if evacuated.contains(&zone) {
                continue;
            }
            if cause == ReadCause::Restore {
                restore_zone_later(core, zone, range.as_of);
            } else {
                restore_zone(core, &zone, range.as_of);
            }
        }
        for item in range.items {
            self.apply_item(core, item);
        }
        let mut tracker = core.version_notes.tracker();
        tracker.record_read(era, newest.unwrap_or(0), as_of, read_at);
    }

    fn apply(
        &self,
        core: &Arc<GatewayCore>,
        events: Vec<StoreEvent>,
        as_of: StoreVersion,
        _may_be_cut: bool,
    ) {
        let answered_at = Instant::now();
        let newest = events.iter().map(StoreEvent::version).max();
        for event in events {
            match event {
                StoreEvent::Written(item) => self.apply_item(core, item),
                StoreEvent::Deleted { key, version } => {
                    if let Some(zone) = core.backends.dialect.evacuated_zone(&key) {
                        restore_zone(core, &zone, version);
                    }
                }
            }
        }
        let mut tracker = core.version_notes.tracker();
        tracker.record_watch(newest, as_of, answered_at);
    }

    fn set_unavailable(&self, _core: &GatewayCore, _is_lost: bool) {}

    fn watch_wait(&self, core: &GatewayCore) -> Duration {
        version_notes::watch_wait(core)
    }

    async fn until_outdated(&self, core: &GatewayCore, wait: Duration) {
        version_notes::until_outdated(core, wait).await;
    }

    fn watch_interval(&self, _core: &GatewayCore) -> Duration {
        Duration::ZERO
    }
}

/// Returns a zone to service unless the operator marks it again: the mark may have been
/// lost with the writes that a restore of the store took back.
fn restore_zone_later(core: &Arc<GatewayCore>, zone: ZoneId, version: StoreVersion) {
    let Some(marked) = core.fleet.evacuation_version(&zone) else {
        return;
    };
    core.log.write(
        LogKind::Evacuation,
        json!({"zone": zone, "state": "kept", "reason": "missing after a restore"}),
    );
    let core = Arc::clone(core);
    runtime::spawn(async move {
        Timer::after(EVACUATION_GRACE).await;
        if core.fleet.evacuation_version(&zone) == Some(marked) {
            restore_zone(&core, &zone, version);
        }
    });
}

fn restore_zone(core: &GatewayCore, zone: &ZoneId, version: StoreVersion) {
    let heartbeat_ms = core.settings.heartbeat_ms;
    if core.fleet.restore_zone(zone, version, heartbeat_ms) {
        core.log.write(
            LogKind::Evacuation,
            json!({"zone": zone, "state": "back", "version": version}),
        );
        core.queue.wake_all();
    }
}
