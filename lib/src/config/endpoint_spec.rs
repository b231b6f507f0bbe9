//! Configuration of one endpoint of a plain service.

use std::net::SocketAddr;

use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// An `[endpoint NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether the endpoint is being drained.
    pub leaving: bool,
}
