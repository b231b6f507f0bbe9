//! The platform services that the gateway depends on.

use std::sync::Arc;

use jujuberoad_node::backends::RecordStore;
use jujuberoad_node::backends::ReplicaControl;
use jujuberoad_node::backends::ServingDialect;

/// Implementations of the platform's interfaces.
pub struct GatewayBackends {
    /// The store that holds the configuration and the endpoint registry.
    pub store: Arc<dyn RecordStore>,
    /// The control API of engines.
    pub control: Arc<dyn ReplicaControl>,
    /// The key names, headers and record formats.
    pub dialect: Arc<dyn ServingDialect>,
}
