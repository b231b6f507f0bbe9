//! The part of a route's requests that a service takes.

use crate::ids::ServiceId;

/// A service and its weight among those of a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight against the other services of the route; 0 takes nothing.
    pub weight: f64,
}
