//! What the planner of replicas decides from.

use std::collections::BTreeSet;
use std::time::Instant;

use super::EndpointTable;
use super::GroupIndex;
use crate::ids::EndpointId;
use crate::serving::ServingConfig;

/// What the planner decides from.
pub struct PlannerInput<'a> {
    /// The registry.
    pub table: &'a EndpointTable,
    /// Groups that follow from it.
    pub groups: &'a GroupIndex,
    /// The configuration in force.
    pub config: &'a ServingConfig,
    /// Endpoints that do not answer although they are registered.
    pub unreachable: &'a BTreeSet<EndpointId>,
    /// Whether requests have begun, from when on loads are limited.
    pub has_traffic: bool,
    /// The current time.
    pub now: Instant,
}
