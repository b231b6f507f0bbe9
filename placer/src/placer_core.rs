//! What all parts of a placer share.

use std::sync::Arc;

use jujuberoad::placement::PlacementPlanner;
use jujuberoad_node::backends::EngineControl;
use jujuberoad_node::backends::PlatformStore;
use jujuberoad_node::backends::VmDirectory;
use jujuberoad_node::runtime::MetricSink;
use jujuberoad_node::settings::NodeSettings;

/// Settings and borders to the outside.
pub(crate) struct PlacerCore {
    pub(crate) settings: NodeSettings,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) directory: Arc<dyn VmDirectory>,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) planner: Box<dyn PlacementPlanner>,
    pub(crate) metrics: MetricSink,
}
