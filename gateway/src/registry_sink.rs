//! Follows the registry of endpoints.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;
use crate::store_watch::PrefixSink;

/// Pause between two watches of the registry, as part of the time after which an
/// endpoint that leaves must get nothing more; a watch that fails has to be followed
/// by a read in the rest. The registry changes dozens of times a second; news of
/// groups come from the router that forms them.
const REGISTRY_PACE_SHARE: f64 = 0.6;
/// The same at the router that forms groups, which streams tell of most losses.
const PLACER_PACE: Duration = Duration::from_millis(250);
/// The same until the registry has settled after a full read in traffic: entries of
/// endpoints that live may have lapsed in an outage and come back one after the other.
const SETTLE_PACE: Duration = Duration::from_millis(300);
/// Time for which it may not have settled; entries are back within about two seconds.
const SETTLE_SPAN: Duration = Duration::from_millis(2_500);
/// The same while groups are being formed, where each wait delays a repair.
const MENDING_PACE: Duration = Duration::from_millis(60);
/// Time after an outage for which entries that a full read lacks are kept:
/// endpoints that live are back within about two seconds.
const ENTRY_GRACE: Duration = Duration::from_millis(2_300);

/// Follows the registry of endpoints.
pub(crate) struct RegistrySink {
    prefix: String,
    settles_at: Mutex<Option<Instant>>,
}

impl RegistrySink {
    /// Follows the entries below `prefix`.
    pub(crate) fn new(prefix: String) -> Self {
        Self {
            prefix,
            settles_at: Mutex::new(None),
        }
    }

    fn is_settled(&self, core: &GatewayCore) -> bool {
        // Before any traffic there is time, and nothing has lapsed.
        if core.settings.is_first_start && !core.has_traffic.load(Ordering::Relaxed) {
            return true;
        }
        let settles_at = self.settles_at.lock().expect("settle lock");
        settles_at.is_none_or(|at| Instant::now() >= at)
    }

    fn decode(&self, core: &GatewayCore, item: &StoredItem) -> Option<EndpointRecord> {
        let id: EndpointId = core.parts.dialect.endpoint_of_key(&item.key)?;
        match core
            .parts
            .dialect
            .decode_endpoint(&id, &item.value, Instant::now())
        {
            Ok(record) => Some(record),
            Err(error) => {
                core.log.write(
                    LogKind::Damaged,
                    json!({"what": error.what, "reason": error.message}),
                );
                None
            }
        }
    }
}

impl PrefixSink for RegistrySink {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, after_outage: bool) {
        let now = Instant::now();
        *self.settles_at.lock().expect("settle lock") = Some(now + SETTLE_SPAN);
        let mut records = Vec::new();
        for item in &range.items {
            records.extend(self.decode(core, item));
        }
        let keep_until = after_outage.then(|| now + ENTRY_GRACE);
        let count = records.len();
        let is_unsettled = !self.is_settled(core);
        core.board.change_registry(range.as_of, now, |table| {
            if is_unsettled && table.is_empty() {
                table.set_settles_at(now + SETTLE_SPAN);
            }
            table.replace_all(records, keep_until);
            true
        });
        if is_unsettled {
            let core = Arc::clone(core);
            runtime::spawn(async move {
                Timer::after(SETTLE_SPAN).await;
                core.board.settle(Instant::now());
            });
        }
        core.log.write(
            LogKind::Endpoint,
            json!({"read": count, "version": range.as_of, "after_outage": after_outage}),
        );
        core.queue.wake_all();
    }

    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, as_of: StoreVersion) {
        let now = Instant::now();
        let mut changes = Vec::new();
        for event in events {
            match event {
                StoreEvent::Written(item) => {
                    // A damaged entry names no endpoint to use, also in place of one.
                    let Some(id) = core.parts.dialect.endpoint_of_key(&item.key) else {
                        continue;
                    };
                    changes.push((id, self.decode(core, &item)));
                }
                StoreEvent::Deleted { key, .. } => {
                    if let Some(id) = core.parts.dialect.endpoint_of_key(&key) {
                        changes.push((id, None));
                    }
                }
            }
        }
        let mut news = Vec::new();
        for (id, record) in &changes {
            let has_moved = self.note_change(core, id, record.as_ref(), as_of);
            if let Some(record) = record.as_ref().filter(|_| has_moved) {
                news.push((id.clone(), record.report()));
            }
        }
        peer_exchange::tell_observed(core, Some(as_of), news);
        core.board.change_registry(as_of, now, |table| {
            let has_changed = !changes.is_empty();
            for (id, record) in changes {
                match record {
                    Some(record) => table.upsert(record),
                    None => table.remove(&id, None),
                }
            }
            has_changed
        });
        core.queue.wake_all();
    }

    fn note_contact(&self, core: &GatewayCore, is_lost: bool) {
        core.is_registry_unavailable
            .store(is_lost, Ordering::Relaxed);
        core.board.set_registry_unavailable(is_lost);
    }

    fn pace(&self, core: &GatewayCore) -> Duration {
        if core.has_pending_changes.load(Ordering::Relaxed) {
            MENDING_PACE
        } else if core.is_placer.load(Ordering::Relaxed) {
            PLACER_PACE
        } else if !self.is_settled(core) {
            SETTLE_PACE
        } else {
            let leaving = Duration::from_millis(core.settings.leaving_ms);
            leaving.mul_f64(REGISTRY_PACE_SHARE)
        }
    }
}

impl RegistrySink {
    /// Logs what matters of a change, and trusts an endpoint again that has changed;
    /// tells whether it has joined or left a group, or changed its part in it.
    fn note_change(
        &self,
        core: &GatewayCore,
        id: &EndpointId,
        record: Option<&EndpointRecord>,
        as_of: StoreVersion,
    ) -> bool {
        let old = core.board.endpoint(id);
        let old_membership = old.as_ref().and_then(|old| old.membership.clone());
        let new_membership = record.and_then(|record| record.membership.clone());
        let is_same = old.as_ref().map(|old| (old.state, old.incarnation))
            == record.map(|record| (record.state, record.incarnation));
        let has_moved = old_membership != new_membership;
        if is_same && !has_moved {
            return false;
        }
        core.clear_unreachable(id);
        core.log.write(
            LogKind::Endpoint,
            json!({
                "endpoint": id,
                "version": as_of,
                "state": record.map_or("gone".to_owned(), |record| record.state.to_string()),
                "group": new_membership.as_ref().map(|group| group.key.to_string()),
                "member": new_membership.as_ref().map(|group| group.state.to_string()),
                "zone": record.map(|record| &record.zone),
                "domain": record.map(|record| &record.domain),
                "staged": record.map(|record| &record.staged),
                "was_group": old_membership.as_ref().map(|group| group.key.to_string()),
            }),
        );
        has_moved
    }
}
