//! Keeps the beliefs up with the store.
//!
//! Each prefix has a task of its own that reads it in full, then watches it from
//! that version on. A watch that fails is followed by a full read, so nothing is
//! missed; an answer is never applied after a newer one, as one call follows the
//! other.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;
use jujuberoad_node::backends::StoreError;
use jujuberoad_node::backends::StoreEvent;
use jujuberoad_node::backends::StoredItem;
use jujuberoad_node::backends::StoredRange;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::Timer;

use crate::gateway_core::GatewayCore;
use crate::peer_exchange;

/// Time that the store holds a watch open when nothing changes.
const WATCH_MS: Milliseconds = 10_000;
/// Time for a full read; a slow store answers within some hundred milliseconds.
const READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause between two watches of the registry, as part of the time after which an
/// endpoint that leaves must get nothing more. The registry changes dozens of times
/// a second; news of groups come from the router that forms them.
const REGISTRY_PACE_SHARE: f64 = 0.45;
/// The same until callers come, when endpoints register one after the other.
const START_PACE: Duration = Duration::from_millis(300);
/// The same at the router that forms groups, which streams tell of most losses.
const PLACER_PACE: Duration = Duration::from_millis(250);
/// The same while groups are being formed, where each wait delays a repair.
const MENDING_PACE: Duration = Duration::from_millis(60);
/// First and longest pause after a failed call: calls that the store turns away are
/// billed too, and configurations are to be in force two seconds after it is back.
const RETRY_PACE: (Duration, Duration) = (Duration::from_millis(120), Duration::from_millis(800));
/// Failures in a row after which the store counts as lost.
const LOST_AFTER: u32 = 2;
/// Time after an outage for which entries that a full read lacks are kept:
/// endpoints that live are back within about two seconds.
const ENTRY_GRACE: Duration = Duration::from_millis(2_300);

/// What a watched prefix is about.
pub(crate) trait PrefixSink: Send + Sync + 'static {
    /// The prefix.
    fn prefix(&self) -> String;

    /// Takes a full read; `after_outage` tells that calls have failed before it.
    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, after_outage: bool);

    /// Takes changes in order; they are known as of `as_of`.
    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, as_of: StoreVersion);

    /// Takes whether the prefix can be read.
    fn note_contact(&self, core: &GatewayCore, is_lost: bool);

    /// Pause between two watches.
    fn pace(&self, core: &GatewayCore) -> Duration;
}

/// Follows a prefix for ever.
pub(crate) fn follow(core: Arc<GatewayCore>, sink: impl PrefixSink) {
    runtime::spawn(async move {
        let mut failures = 0;
        loop {
            let error = match follow_once(&core, &sink, &mut failures).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            let prefix = sink.prefix();
            if let StoreError::HistoryGone { .. } = error {
                core.log.write(
                    LogKind::Dependency,
                    json!({"on": "store", "prefix": prefix, "state": "history gone"}),
                );
                continue;
            }
            failures += 1;
            if failures == LOST_AFTER {
                sink.note_contact(&core, true);
                core.log.write(
                    LogKind::Dependency,
                    json!({
                        "on": "store",
                        "prefix": prefix,
                        "state": "lost",
                        "reason": error.to_string(),
                    }),
                );
            }
            Timer::after(retry_pause(failures)).await;
        }
    });
}

/// Returns a pause that doubles with each failure, spread over the routers.
fn retry_pause(failures: u32) -> Duration {
    let doubled = RETRY_PACE.0 * 2_u32.pow(failures.clamp(1, 8) - 1);
    doubled
        .min(RETRY_PACE.1)
        .mul_f64(0.75 + 0.5 * fastrand::f64())
}

enum Never {}

async fn follow_once(
    core: &Arc<GatewayCore>,
    sink: &impl PrefixSink,
    failures: &mut u32,
) -> Result<Never, StoreError> {
    let prefix = sink.prefix();
    let read = core
        .parts
        .store
        .read_prefix(&prefix, Instant::now() + READ_LIMIT);
    let range = note(core, "read", read.await)?;
    let mut as_of = range.as_of;
    if *failures >= LOST_AFTER {
        core.log.write(
            LogKind::Dependency,
            json!({"on": "store", "prefix": prefix, "state": "back", "failures": *failures}),
        );
    }
    sink.replace(core, range, *failures > 0);
    sink.note_contact(core, false);
    *failures = 0;
    loop {
        let watch = core.parts.store.watch_prefix(&prefix, as_of, WATCH_MS);
        let answer = note(core, "watch", watch.await)?;
        as_of = answer.as_of.max(as_of);
        sink.apply(core, answer.events, as_of);
        let pace = sink.pace(core);
        if !pace.is_zero() {
            Timer::after(pace).await;
        }
    }
}

fn note<T>(core: &GatewayCore, call: &str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    core.metrics
        .note_call(call, if result.is_ok() { "ok" } else { "failed" });
    result
}

/// Follows what the operator writes.
pub(crate) struct OperatorSink {
    pub(crate) prefix: String,
}

impl OperatorSink {
    fn take(&self, core: &GatewayCore, item: StoredItem) {
        let dialect = &core.parts.dialect;
        if let Some(zone) = dialect.evacuated_zone(&item.key) {
            if core.board.evacuate(zone.clone(), item.version) {
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
                let is_new = core.board.take_config(config, item.version);
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
                json!({"what": error.what, "reason": error.message, "kept": "the last one"}),
            ),
        }
    }
}

impl PrefixSink for OperatorSink {
    fn prefix(&self) -> String {
        self.prefix.clone()
    }

    fn replace(&self, core: &Arc<GatewayCore>, range: StoredRange, _after_outage: bool) {
        let dialect = &core.parts.dialect;
        let out: Vec<_> = range
            .items
            .iter()
            .filter_map(|item| dialect.evacuated_zone(&item.key))
            .collect();
        for zone in core.board.evacuated() {
            if !out.contains(&zone) {
                take_back(core, &zone, range.as_of);
            }
        }
        for item in range.items {
            self.take(core, item);
        }
    }

    fn apply(&self, core: &Arc<GatewayCore>, events: Vec<StoreEvent>, _as_of: StoreVersion) {
        for event in events {
            match event {
                StoreEvent::Written(item) => self.take(core, item),
                StoreEvent::Deleted { key, version } => {
                    if let Some(zone) = core.parts.dialect.evacuated_zone(&key) {
                        take_back(core, &zone, version);
                    }
                }
            }
        }
    }

    fn note_contact(&self, _core: &GatewayCore, _is_lost: bool) {}

    fn pace(&self, _core: &GatewayCore) -> Duration {
        Duration::ZERO
    }
}

fn take_back(core: &GatewayCore, zone: &smol_str::SmolStr, version: StoreVersion) {
    if core.board.take_back(zone) {
        core.log.write(
            LogKind::Evacuation,
            json!({"zone": zone, "state": "back", "version": version}),
        );
        core.queue.wake_all();
    }
}

/// Follows the registry of endpoints.
pub(crate) struct RegistrySink {
    pub(crate) prefix: String,
}

impl RegistrySink {
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
        let mut records = Vec::new();
        for item in &range.items {
            records.extend(self.decode(core, item));
        }
        let keep_until = after_outage.then(|| now + ENTRY_GRACE);
        let count = records.len();
        core.board.change_registry(range.as_of, now, |table| {
            table.replace_all(records, keep_until);
            true
        });
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
        core.is_registry_lost.store(is_lost, Ordering::Relaxed);
    }

    fn pace(&self, core: &GatewayCore) -> Duration {
        if core.is_mending.load(Ordering::Relaxed) {
            MENDING_PACE
        } else if core.is_placer.load(Ordering::Relaxed) {
            PLACER_PACE
        } else {
            let has_traffic = core.has_traffic.load(Ordering::Relaxed);
            if !has_traffic {
                return START_PACE;
            }
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
        core.clear_lost(id);
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
