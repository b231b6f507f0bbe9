//! What operators say about one endpoint of a plain service.

use std::net::SocketAddr;

use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// An `[endpoint NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Service that it is part of.
    pub service: ServiceId,
    /// Availability zone in which it stands.
    pub zone: ZoneId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether operators want it emptied.
    pub leaving: bool,
}
