//! Watches the registry of endpoints.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use futures_lite::FutureExt;
use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::RegistryChange;
use jujuberoad::fleet::check_endpoint_name;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::cold_watch;
use crate::gateway_core::GatewayCore;
use crate::peer_exchange;
use crate::store_watch::PrefixSink;
use crate::store_watch::ReadCause;
use crate::version_notes;

/// Delay between registry watches, as a share of the time after which a leaving
/// endpoint must receive no more requests; the rest is left for a full read after a
/// failed watch. The registry changes dozens of times a second, and changes of groups
/// arrive earlier from the placer.
const REGISTRY_INTERVAL_SHARE: f64 = 0.6;
/// Delay between watches at the placer, which detects most failures through its streams.
const PLACER_INTERVAL: Duration = Duration::from_millis(250);
/// Delay between watches until the registry has settled after a full read under
/// traffic: entries of live endpoints may have expired in an outage and reappear one by
/// one.
const SETTLE_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the registry takes to settle; live endpoints re-register within about two
/// seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Delay between watches while groups are being formed; it adds to the time of a repair.
const FORMING_INTERVAL: Duration = Duration::from_millis(60);
/// Wait of a watch that only confirms the registry.
const CONFIRM_WAIT: Duration = Duration::from_millis(1);
/// Shortest time between reads for relayed changes that are missing. Before the first request, the
/// whole fleet changes at once, and nothing depends on them.
const GAP_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which it is checked whether the registry has to be read at once.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which entries missing from the first full read after an outage are kept:
/// live endpoints re-register within about two seconds.
const ENTRY_GRACE: Duration = Duration::from_millis(2_300);

/// Applies registry entries to the fleet cache.
pub(crate) struct RegistrySink {
    prefix: String,
    settles_at: Mutex<Option<Instant>>,
}

impl RegistrySink {
    /// Creates a sink for the entries below `prefix`.
    pub(crate) fn new(prefix: String) -> Self {
        Self {
            prefix,
            settles_at: Mutex::new(None),
        }
    }

    fn is_settled(&self, core: &GatewayCore) -> bool {
        // On the first start, before any traffic, no entry can have expired and no
        // request is waiting.
        if core.settings.is_first_start && !core.has_traffic.load(Ordering::Relaxed) {
            return true;
        }
        let settles_at = self.settles_at.lock().expect("registry settle time lock");
        settles_at.is_none_or(|at| Instant::now() >= at)
    }

    fn decode(&self, core: &GatewayCore, item: &StoredItem) -> Option<EndpointRecord> {
        let dialect = &core.backends.dialect;
        let id: EndpointId = dialect.endpoint_of_key(&item.key)?;
        if !is_endpoint_name(core, &id) {
            return None;
        }
        match dialect.decode_endpoint(&id, &item.value, Instant::now()) {
            Ok(record) => Some(record),
            Err(error) => {
                core.log.write(
                    LogKind::Damaged,
                    json!({"what": error.subject, "reason": error.message}),
                );
                None
            }
        }
    }
}

#[async_trait]
impl PrefixSink for RegistrySink {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, cause: ReadCause) {
        let now = Instant::now();
        *self.settles_at.lock().expect("registry settle time lock") = Some(now + SETTLE_TIME);
        let mut records = Vec::new();
        for item in &range.items {
            records.extend(self.decode(core, item));
        }
        for record in &records {
            let old = core.fleet.endpoint(&record.id);
            cold_watch::observe_entry(core, old.as_ref(), record, range.as_of);
        }
        let keep_until = (cause != ReadCause::Routine).then(|| now + ENTRY_GRACE);
        let count = records.len();
        let is_unsettled = !self.is_settled(core);
        core.fleet.update_registry(range.as_of, now, |table| {
            if is_unsettled && table.is_empty() {
                table.set_settles_at(now + SETTLE_TIME);
            }
            if cause == ReadCause::Restore {
                table.replace_restored(records, now + ENTRY_GRACE);
            } else {
                table.replace_all(records, keep_until);
            }
            true
        });
        core.fleet.forget_heard_version();
        if is_unsettled {
            let core = Arc::clone(core);
            runtime::spawn(async move {
                Timer::after(SETTLE_TIME).await;
                core.fleet.settle(Instant::now());
            });
        }
        core.log.write(
            LogKind::Endpoint,
            json!({"read": count, "version": range.as_of, "after": cause.to_string()}),
        );
        core.queue.wake_all();
    }

    fn apply(
        &self,
        core: &Arc<GatewayCore>,
        events: Vec<StoreEvent>,
        as_of: StoreVersion,
        may_be_cut: bool,
    ) {
        let now = Instant::now();
        let view = core.fleet.view();
        let known = view.registry_version;
        let confirmed_at = match view.registry_confirmed_at {
            Some(confirmed_at) if may_be_cut => confirmed_at,
            _ => now,
        };
        let mut changes = Vec::new();
        for event in events {
            // A peer may have relayed the change already.
            if event.version() <= known {
                continue;
            }
            let version = event.version();
            let (key, record) = match event {
                // An entry that cannot be decoded removes the endpoint's previous record.
                StoreEvent::Written(item) => (item.key.clone(), self.decode(core, &item)),
                StoreEvent::Deleted { key, .. } => (key, None),
            };
            let id = core.backends.dialect.endpoint_of_key(&key);
            if let Some(id) = id.filter(|id| check_endpoint_name(id).is_ok()) {
                changes.push(RegistryChange::new(version, id, record, now));
            }
        }
        if as_of > known {
            let age = now.saturating_duration_since(confirmed_at);
            peer_exchange::relay_changes(core, known, as_of, age, changes.clone());
        }
        let changes = changes.into_iter();
        let changes = changes.map(|change| (change.endpoint.clone(), change.into_record(now)));
        apply_changes(core, changes.collect(), as_of.max(known), confirmed_at);
        if !may_be_cut {
            core.fleet.forget_heard_version();
        }
    }

    fn set_unavailable(&self, core: &GatewayCore, is_unavailable: bool) {
        core.is_registry_unavailable
            .store(is_unavailable, Ordering::Relaxed);
        core.fleet.set_registry_unavailable(is_unavailable);
    }

    fn watch_wait(&self, core: &GatewayCore) -> Duration {
        if is_read_due(core) {
            return CONFIRM_WAIT;
        }
        version_notes::watch_wait(core)
    }

    async fn until_outdated(&self, core: &GatewayCore, wait: Duration) {
        let read_due = async {
            while wait <= CONFIRM_WAIT || !is_read_due(core) {
                Timer::after(READ_CHECK_INTERVAL).await;
            }
        };
        version_notes::until_unconfirmed(core, wait)
            .or(read_due)
            .await;
    }

    async fn wait(&self, core: &GatewayCore, _as_of: StoreVersion) -> StoreVersion {
        // Relayed changes postpone the next watch.
        loop {
            let view = core.fleet.view();
            let confirmed_at = view.registry_confirmed_at.unwrap_or_else(Instant::now);
            let due_at = confirmed_at + self.watch_interval(core);
            let now = Instant::now();
            if now >= due_at || is_read_due(core) {
                return view.registry_version;
            }
            Timer::at(due_at.min(now + READ_CHECK_INTERVAL)).await;
        }
    }

    fn watch_interval(&self, core: &GatewayCore) -> Duration {
        if core.is_forming_groups.load(Ordering::Relaxed) {
            FORMING_INTERVAL
        } else if core.is_placer.load(Ordering::Relaxed) {
            PLACER_INTERVAL
        } else if !self.is_settled(core) {
            SETTLE_INTERVAL
        } else {
            usual_interval(core)
        }
    }
}

/// Returns the delay between watches of a router that forms no groups.
pub(crate) fn usual_interval(core: &GatewayCore) -> Duration {
    let leaving = Duration::from_millis(core.settings.leaving_ms);
    leaving.mul_f64(REGISTRY_INTERVAL_SHARE)
}

/// Returns whether the registry has to be read now: for a zone that is back, because calls have
/// failed since it was confirmed and are answered again, or because relayed changes are missing.
fn is_read_due(core: &GatewayCore) -> bool {
    let view = core.fleet.view();
    let now = Instant::now();
    if view.zone_returns.next_read_at().is_some_and(|at| now >= at) {
        return true;
    }
    let Some(confirmed_at) = view.registry_confirmed_at else {
        return false;
    };
    if core.store_outages.has_recovered_since(confirmed_at) {
        return true;
    }
    let is_missing = view.registry_version < view.heard_version;
    let has_traffic = core.has_traffic.load(Ordering::Relaxed);
    is_missing && has_traffic && now >= confirmed_at + GAP_READ_INTERVAL
}

/// Returns whether an entry under this name may name an endpoint; logs why it does not.
pub(crate) fn is_endpoint_name(core: &GatewayCore, name: &str) -> bool {
    let Err(error) = check_endpoint_name(name) else {
        return true;
    };
    core.log.write(
        LogKind::Damaged,
        json!({"what": "endpoint name", "name": name, "reason": error.to_string()}),
    );
    false
}

/// Applies changes of registry entries that the store has confirmed at `confirmed_at`.
pub(crate) fn apply_changes(
    core: &Arc<GatewayCore>,
    changes: Vec<(EndpointId, Option<EndpointRecord>)>,
    as_of: StoreVersion,
    confirmed_at: Instant,
) {
    for (id, record) in &changes {
        record_change(core, id, record.as_ref(), as_of);
    }
    core.fleet.update_registry(as_of, confirmed_at, |table| {
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

/// Logs a relevant change and stops avoiding the changed endpoint.
fn record_change(
    core: &GatewayCore,
    id: &EndpointId,
    record: Option<&EndpointRecord>,
    as_of: StoreVersion,
) {
    let old = core.fleet.endpoint(id);
    if let Some(record) = record {
        cold_watch::observe_entry(core, old.as_ref(), record, as_of);
    }
    let old_membership = old.as_ref().and_then(|old| old.membership.clone());
    let new_membership = record.and_then(|record| record.membership.clone());
    let is_unchanged = old.as_ref().map(|old| (old.state, old.incarnation))
        == record.map(|record| (record.state, record.incarnation));
    if is_unchanged && old_membership == new_membership {
        return;
    }
    core.clear_unreachable(id);
    let was_restarted = match (&old, record) {
        (Some(old), Some(record)) => old.incarnation != record.incarnation,
        // An entry may be missing for a while although its endpoint lives.
        _ => false,
    };
    if was_restarted {
        core.avoided().clear_resting(id);
    }
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
}
