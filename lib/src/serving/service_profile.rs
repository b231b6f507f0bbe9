//! One service and how its endpoints are to be treated.

use smol_str::SmolStr;

use super::EngineProfile;
use crate::ids::ServiceId;

/// A set of endpoints that run the same requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of the health check.
    pub health_path: SmolStr,
    /// Connections that one endpoint accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that a cold endpoint bears; 0 when it is never cold.
    pub cold_requests_per_second: f64,
    /// Present when its endpoints hold models in groups.
    pub engine: Option<EngineProfile>,
}
