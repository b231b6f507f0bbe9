//! Input of a placement planner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::PlacementRecord;
use super::VmStatus;
use crate::config::FleetConfig;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::VmId;

/// State from which the next placement of one zone is computed.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// The record to be replaced.
    pub current: &'a PlacementRecord,
    /// VMs of the zone that report; a VM that is not listed is missing.
    pub vms: &'a BTreeMap<VmId, VmStatus>,
    /// Number of groups that the zone should have, by model.
    pub wanted: &'a BTreeMap<ModelId, u64>,
    /// Draining groups without requests in progress or whose deadline has passed.
    pub drained: &'a BTreeSet<GroupId>,
}
