//! What this router believes of the configuration, the zones and the endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use jujuberoad::fleet::EndpointRecord;
use jujuberoad::fleet::EndpointTable;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::GroupIndex;
use jujuberoad::fleet::TargetTable;
use jujuberoad::ids::EndpointId;
use jujuberoad::ids::StoreVersion;
use jujuberoad::ids::ZoneId;
use jujuberoad::serving::ServingConfig;

/// One state of all beliefs; requests hold on to it while they decide.
#[derive(Clone, Debug, Default)]
pub(crate) struct BeliefView {
    /// The configuration in force.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Places that take requests.
    pub(crate) targets: Arc<TargetTable>,
    /// Groups in any state.
    pub(crate) groups: Arc<GroupIndex>,
    /// Version of the store that the registry is known as of.
    pub(crate) registry_version: StoreVersion,
    /// When the registry was last confirmed.
    pub(crate) registry_seen_at: Option<Instant>,
}

#[derive(Default)]
struct BoardState {
    view: BeliefView,
    config_version: StoreVersion,
    evacuated: BTreeMap<ZoneId, StoreVersion>,
    table: EndpointTable,
}

/// Holds the beliefs and derives the targets from them after each change.
#[derive(Default)]
pub(crate) struct BeliefBoard {
    state: Mutex<BoardState>,
}

impl BeliefBoard {
    /// Returns the current beliefs.
    pub(crate) fn view(&self) -> BeliefView {
        self.state.lock().expect("belief lock").view.clone()
    }

    /// Returns the registry.
    pub(crate) fn table(&self) -> EndpointTable {
        self.state.lock().expect("belief lock").table.clone()
    }

    /// Returns the zones that are out of service.
    pub(crate) fn evacuated(&self) -> BTreeSet<ZoneId> {
        let state = self.state.lock().expect("belief lock");
        state.evacuated.keys().cloned().collect()
    }

    /// Takes a configuration of the store's `version`; an older one is passed over.
    pub(crate) fn take_config(&self, config: ServingConfig, version: StoreVersion) -> bool {
        let mut state = self.state.lock().expect("belief lock");
        if version <= state.config_version {
            return false;
        }
        state.config_version = version;
        state.view.config = Some(Arc::new(config));
        state.derive();
        true
    }

    /// Takes a zone out of service.
    pub(crate) fn evacuate(&self, zone: ZoneId, version: StoreVersion) -> bool {
        let mut state = self.state.lock().expect("belief lock");
        let is_new = state.evacuated.insert(zone, version).is_none();
        state.derive();
        is_new
    }

    /// Takes a zone back into service.
    pub(crate) fn take_back(&self, zone: &ZoneId) -> bool {
        let mut state = self.state.lock().expect("belief lock");
        let was_out = state.evacuated.remove(zone).is_some();
        state.derive();
        was_out
    }

    /// Changes the registry and notes the version that it is known as of.
    pub(crate) fn change_registry(
        &self,
        as_of: StoreVersion,
        now: Instant,
        change: impl FnOnce(&mut EndpointTable) -> bool,
    ) {
        let mut state = self.state.lock().expect("belief lock");
        let mut has_changed = change(&mut state.table);
        has_changed |= state.table.expire(now);
        state.view.registry_version = as_of;
        state.view.registry_seen_at = Some(now);
        if has_changed {
            state.derive();
        }
    }

    /// Takes endpoints without an entry for gone, once the registry has settled.
    pub(crate) fn settle(&self, now: Instant) {
        let mut state = self.state.lock().expect("belief lock");
        if state.table.expire(now) {
            state.derive();
        }
    }

    /// Takes what an engine said when it was asked; tells whether that is news.
    pub(crate) fn apply_report(&self, id: &EndpointId, report: EngineReport) -> bool {
        let mut state = self.state.lock().expect("belief lock");
        let is_news = state.table.apply_report(id, report);
        if is_news {
            state.derive();
        }
        is_news
    }

    /// Takes what a peer read in a newer registry.
    pub(crate) fn apply_peer_report(&self, id: &EndpointId, report: EngineReport) {
        let mut state = self.state.lock().expect("belief lock");
        if state.table.apply_peer_report(id, report) {
            state.derive();
        }
    }

    /// Notes whether the registry cannot be read.
    pub(crate) fn set_registry_unavailable(&self, is_lost: bool) {
        let mut state = self.state.lock().expect("belief lock");
        state.table.set_registry_unavailable(is_lost);
    }

    /// Returns the number of endpoints in the registry.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.state.lock().expect("belief lock").table.len()
    }

    /// Returns an endpoint.
    pub(crate) fn endpoint(&self, id: &EndpointId) -> Option<EndpointRecord> {
        self.state
            .lock()
            .expect("belief lock")
            .table
            .get(id)
            .cloned()
    }
}

impl BoardState {
    fn derive(&mut self) {
        let Some(config) = self.view.config.clone() else {
            return;
        };
        let groups = GroupIndex::collect(&self.table, &config, Instant::now());
        let evacuated: BTreeSet<ZoneId> = self.evacuated.keys().cloned().collect();
        let targets = TargetTable::collect(&self.table, &groups, &config, &evacuated);
        self.view.groups = Arc::new(groups);
        self.view.targets = Arc::new(targets);
    }
}
