//! Configuration of a service.

use smol_str::SmolStr;

use super::EngineProfile;
use crate::ids::ServiceId;

/// A set of interchangeable endpoints and the limits for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Number of connections that one endpoint accepts from all clients.
    pub max_connections: u32,
    /// Limit on requests per second to a cold endpoint; 0 if endpoints need no warm-up.
    pub cold_requests_per_second: f64,
    /// Engine profile, for a service that serves models in groups.
    pub engine: Option<EngineProfile>,
}
