//! Local cache of the configuration, the evacuated zones and the endpoint registry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointTable;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupIndex;
use jujuberoad::fleet::TargetTable;
use jujuberoad::fleet::ZoneReturns;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;
use jujuberoad::ids::ZoneId;
use jujuberoad::serving::ServingConfig;

/// A consistent snapshot of the cache, which a request uses for one decision.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// The active configuration.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Targets that accept requests.
    pub(crate) targets: Arc<TargetTable>,
    /// All groups, regardless of their state.
    pub(crate) groups: Arc<GroupIndex>,
    /// Zones that are back and whose endpoints may be cold.
    pub(crate) zone_returns: Arc<ZoneReturns>,
    /// Store version that the registry reflects.
    pub(crate) registry_version: StoreVersion,
    /// Newest version of the registry that a peer has told of; changes before it may be missing.
    pub(crate) heard_version: StoreVersion,
    /// When the store last confirmed the registry; `None` before the first read.
    pub(crate) registry_confirmed_at: Option<Instant>,
}

#[derive(Default)]
struct CacheState {
    view: FleetView,
    config_version: StoreVersion,
    evacuated: BTreeMap<ZoneId, StoreVersion>,
    /// When each zone was last returned to service.
    returned_at: BTreeMap<ZoneId, Instant>,
    table: EndpointTable,
}

/// Caches the state read from the store and recomputes the targets after each change.
#[derive(Default)]
pub(crate) struct FleetCache {
    state: Mutex<CacheState>,
}

impl FleetCache {
    /// Returns a snapshot.
    pub(crate) fn view(&self) -> FleetView {
        self.state.lock().expect("fleet cache lock").view.clone()
    }

    /// Returns a copy of the registry.
    pub(crate) fn table(&self) -> EndpointTable {
        self.state.lock().expect("fleet cache lock").table.clone()
    }

    /// Returns the evacuated zones.
    pub(crate) fn evacuated(&self) -> BTreeSet<ZoneId> {
        let state = self.state.lock().expect("fleet cache lock");
        state.evacuated.keys().cloned().collect()
    }

    /// Replaces the configuration if it is newer than the cached one; returns whether it was
    /// replaced. The operator's own version decides first, because a store that was restored
    /// from a copy may show an older configuration under a newer `version`.
    pub(crate) fn set_config(&self, config: ServingConfig, version: StoreVersion) -> bool {
        let mut state = self.state.lock().expect("fleet cache lock");
        let known = state.view.config.as_ref().map(|config| config.version);
        let is_newer = (Some(config.version), version) > (known, state.config_version);
        if !is_newer {
            return false;
        }
        state.config_version = version;
        state.view.config = Some(Arc::new(config));
        state.rebuild_targets();
        true
    }

    /// Marks a zone as evacuated; returns whether it was not evacuated before.
    pub(crate) fn evacuate(&self, zone: ZoneId, version: StoreVersion) -> bool {
        let mut state = self.state.lock().expect("fleet cache lock");
        Arc::make_mut(&mut state.view.zone_returns).remove(&zone);
        let is_new = state.evacuated.insert(zone, version).is_none();
        state.rebuild_targets();
        is_new
    }

    /// Returns the store version of a zone's mark, if the zone is evacuated.
    pub(crate) fn evacuation_version(&self, zone: &ZoneId) -> Option<StoreVersion> {
        let state = self.state.lock().expect("fleet cache lock");
        state.evacuated.get(zone).copied()
    }

    /// Returns the time since a zone was last returned to service, if it ever was.
    pub(crate) fn zone_back_age(&self, zone: &ZoneId) -> Option<Duration> {
        let state = self.state.lock().expect("fleet cache lock");
        state.returned_at.get(zone).map(Instant::elapsed)
    }

    /// Returns a zone to service, as the operator has done in `version`; returns whether it was
    /// evacuated before. Endpoints write their entries at least once in `heartbeat_ms`.
    pub(crate) fn restore_zone(
        &self,
        zone: &ZoneId,
        version: StoreVersion,
        heartbeat_ms: Milliseconds,
    ) -> bool {
        let mut state = self.state.lock().expect("fleet cache lock");
        let was_evacuated = state.evacuated.remove(zone).is_some();
        if was_evacuated {
            let now = Instant::now();
            state.returned_at.insert(zone.clone(), now);
            let returns = Arc::make_mut(&mut state.view.zone_returns);
            returns.record(zone.clone(), version, heartbeat_ms, now);
        }
        state.rebuild_targets();
        was_evacuated
    }

    /// Applies `change` to the registry and records the store version it now reflects.
    ///
    /// `change` returns whether the targets have to be recomputed.
    pub(crate) fn update_registry(
        &self,
        as_of: StoreVersion,
        now: Instant,
        change: impl FnOnce(&mut EndpointTable) -> bool,
    ) {
        let mut state = self.state.lock().expect("fleet cache lock");
        let mut has_changed = change(&mut state.table);
        has_changed |= state.table.expire(now);
        state.view.registry_version = as_of;
        state.view.registry_confirmed_at = state.view.registry_confirmed_at.max(Some(now));
        if state.view.zone_returns.next_read_at().is_some() {
            Arc::make_mut(&mut state.view.zone_returns).observe_registry(as_of, now);
        }
        if has_changed {
            state.rebuild_targets();
        }
    }

    /// Ends the settling phase of the registry if it is over, and removes endpoints whose
    /// grace period without an entry has expired.
    pub(crate) fn settle(&self, now: Instant) {
        let mut state = self.state.lock().expect("fleet cache lock");
        if state.table.expire(now) {
            state.rebuild_targets();
        }
    }

    /// Applies a report that an engine returned to a probe; returns whether it changed
    /// the registry.
    pub(crate) fn apply_report(&self, id: &EndpointId, report: EngineReport) -> bool {
        let mut state = self.state.lock().expect("fleet cache lock");
        let has_changed = state.table.apply_report(id, report);
        if has_changed {
            state.rebuild_targets();
        }
        has_changed
    }

    /// Records that an endpoint has said in a response that it leaves; returns whether that is
    /// new.
    pub(crate) fn mark_leaving(&self, id: &EndpointId) -> bool {
        let mut state = self.state.lock().expect("fleet cache lock");
        let is_new = state.table.mark_leaving(id);
        if is_new {
            state.rebuild_targets();
        }
        is_new
    }

    /// Applies entries that a peer read from a newer version of the registry, `version`.
    pub(crate) fn apply_later_entries(&self, records: &[EndpointRecord], version: StoreVersion) {
        let mut state = self.state.lock().expect("fleet cache lock");
        state.view.heard_version = state.view.heard_version.max(version);
        let mut has_changed = false;
        for record in records {
            has_changed |= state.table.apply_later_entry(record);
        }
        if has_changed {
            state.rebuild_targets();
        }
    }

    /// Records whether the registry is currently unreadable.
    pub(crate) fn set_registry_unavailable(&self, is_unavailable: bool) {
        let mut state = self.state.lock().expect("fleet cache lock");
        state.table.set_registry_unavailable(is_unavailable);
    }

    /// Records that the store has told all changes of the registry, whatever peers told of.
    pub(crate) fn forget_heard_version(&self) {
        let mut state = self.state.lock().expect("fleet cache lock");
        state.view.heard_version = 0;
    }

    /// Returns the number of endpoints in the registry.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.state.lock().expect("fleet cache lock").table.len()
    }

    /// Returns the record of an endpoint.
    pub(crate) fn endpoint(&self, id: &EndpointId) -> Option<EndpointRecord> {
        self.state
            .lock()
            .expect("fleet cache lock")
            .table
            .get(id)
            .cloned()
    }
}

impl CacheState {
    fn rebuild_targets(&mut self) {
        let Some(config) = self.view.config.clone() else {
            return;
        };
        let groups = GroupIndex::build(&self.table, &config, Instant::now());
        let evacuated: BTreeSet<ZoneId> = self.evacuated.keys().cloned().collect();
        let targets = TargetTable::build(&self.table, &groups, &config, &evacuated);
        self.view.groups = Arc::new(groups);
        self.view.targets = Arc::new(targets);
    }
}
