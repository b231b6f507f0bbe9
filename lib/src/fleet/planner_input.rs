//! Input of the replica planner.

use std::collections::BTreeSet;
use std::time::Instant;

use super::DemandMonitor;
use super::EndpointTable;
use super::GroupIndex;
use crate::ids::EndpointId;
use crate::serving::ServingConfig;

/// Snapshot of the state that one planning round uses.
pub struct PlannerInput<'a> {
    /// Known registry entries.
    pub table: &'a EndpointTable,
    /// Groups derived from these entries.
    pub groups: &'a GroupIndex,
    /// Active configuration.
    pub config: &'a ServingConfig,
    /// Endpoints that are registered but excluded as unresponsive or slow.
    pub unreachable: &'a BTreeSet<EndpointId>,
    /// Those of them that only do not respond, and may go on where they stopped.
    pub silent: &'a BTreeSet<EndpointId>,
    /// Whether the system has received requests; from then on, weight loads are limited.
    pub has_traffic: bool,
    /// Measured use of the models' slots, where groups follow demand.
    pub demand: Option<&'a DemandMonitor>,
    /// Current time.
    pub now: Instant,
}
