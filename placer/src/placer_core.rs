//! What all parts of a placer share.

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

/// Placers that stand by for one availability zone.
const CANDIDATES_PER_ZONE: usize = 3;

/// Settings and borders to the outside.
pub(crate) struct PlacerCore {
    pub(crate) settings: NodeSettings,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) directory: Arc<dyn VmDirectory>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) planner: Box<dyn PlacementPlanner>,
    pub(crate) metrics: MetricSink,
    /// The agreed list of routers; a placer has the name of the router beside it.
    pub(crate) list: Mutex<RouterList>,
}

impl PlacerCore {
    /// Tells whether this placer is one of the few that stand by for `zone`.
    ///
    /// As long as the list is empty, every placer is.
    pub(crate) fn is_candidate(&self, zone: &str) -> bool {
        let list = self.list.lock().expect("list lock");
        if list.routers.is_empty() {
            return true;
        }
        let key = format!("placer/{zone}");
        let position = HomeTable::new(&list).place_of(&self.settings.id, &key, zone);
        position.is_some_and(|position| position < CANDIDATES_PER_ZONE)
    }
}
