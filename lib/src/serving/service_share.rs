//! Weight of a service in a route.

use crate::ids::ServiceId;

/// A service of a route and its traffic weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route; 0 gets no requests.
    pub weight: f64,
}
