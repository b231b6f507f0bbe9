//! Everything that a planner looks at.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::PlacementRecord;
use super::VmStatus;
use crate::config::FleetConfig;
use crate::ids::GroupId;
use crate::ids::ModelId;
use crate::ids::VmId;

/// Facts on which the next placement of one zone is decided.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// The record to be replaced.
    pub current: &'a PlacementRecord,
    /// VMs of the zone that answer; a VM that is not here is missing.
    pub vms: &'a BTreeMap<VmId, VmStatus>,
    /// Number of groups that the zone should have, by model.
    pub wanted: &'a BTreeMap<ModelId, u64>,
    /// Draining groups that hold no request any more or whose deadline has passed.
    pub drained: &'a BTreeSet<GroupId>,
}
