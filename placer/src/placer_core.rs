//! State that all tasks of a placer share.

use std::sync::Arc;
use std::sync::Mutex;

use jujuberoad::membership::HomeTable;
use jujuberoad::membership::RouterList;
use jujuberoad::placement::PlacementPlanner;
use jujuberoad_node::backends::EngineControl;
use jujuberoad_node::backends::PlatformStore;
use jujuberoad_node::backends::VmDirectory;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::settings::NodeSettings;

/// Placers that compete for the lease of one availability zone at the short interval.
const CANDIDATES_PER_ZONE: usize = 3;

/// Settings, clients of external services, and the list of routers.
pub(crate) struct PlacerCore {
    pub(crate) settings: NodeSettings,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) directory: Arc<dyn VmDirectory>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) planner: Box<dyn PlacementPlanner>,
    pub(crate) metrics: MetricSink,
    /// List of routers from the store. Each placer runs next to a router and shares its name.
    pub(crate) list: Mutex<RouterList>,
}

impl PlacerCore {
    /// Tells whether this placer is among the `CANDIDATES_PER_ZONE` best ranked for `zone`.
    ///
    /// While the list of routers is empty, every placer is a candidate.
    pub(crate) fn is_candidate(&self, zone: &str) -> bool {
        let list = self.list.lock().expect("list lock");
        if list.routers.is_empty() {
            return true;
        }
        let key = format!("placer/{zone}");
        let position = HomeTable::new(&list).rank_of(&self.settings.id, &key, zone);
        position.is_some_and(|position| position < CANDIDATES_PER_ZONE)
    }
}
