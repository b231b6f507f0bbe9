//! What a router tells its peers of its load.

use serde::Deserialize;
use serde::Serialize;

use super::PoolWaiting;
use super::TargetOutcomes;
use super::VersionNote;
use crate::fleet::EndpointLoad;
use crate::ids::EndpointId;
use crate::ids::Fence;

/// Load of one router, or the sum of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDigest {
    /// Smallest processor share among the routers that the digest covers, in thousandths of a
    /// core; 0 if it is unknown.
    pub least_cpu_millicores: u32,
    /// Largest such share.
    pub most_cpu_millicores: u32,
    /// Load in progress, by endpoint.
    pub loads: Vec<(EndpointId, EndpointLoad)>,
    /// Fencing token under which one of these routers forms groups, if any does.
    pub placer: Option<Fence>,
    /// Requests that wait and that are in progress, by pool and priority.
    pub waiting: Vec<PoolWaiting>,
    /// Answers since the previous digest to the same receiver, by endpoint.
    pub outcomes: Vec<(EndpointId, TargetOutcomes)>,
    /// Newest version of the operator's keys that any of these routers has applied.
    pub operator_version: Option<VersionNote>,
}
