//! What the gateway needs from outside.

use std::sync::Arc;

use jujuberoad_node::backends::RecordStore;
use jujuberoad_node::backends::ReplicaControl;
use jujuberoad_node::backends::ServingDialect;

/// Bindings of one platform.
pub struct GatewayBackends {
    /// The store that holds configuration and registry.
    pub store: Arc<dyn RecordStore>,
    /// The control side of engines.
    pub control: Arc<dyn ReplicaControl>,
    /// Names and formats.
    pub dialect: Arc<dyn ServingDialect>,
}
