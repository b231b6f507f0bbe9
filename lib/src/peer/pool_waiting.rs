//! How much of a pool's work waits.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ModelId;
use crate::ids::ServiceId;
use crate::ids::TeamId;

/// Requests of one priority and team for one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolWaiting {
    /// Service that the requests are for.
    pub service: ServiceId,
    /// Requested model, for services that serve models in groups.
    pub model: Option<ModelId>,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Team of the callers, if they have one.
    pub team: Option<TeamId>,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests in progress at endpoints.
    pub running: u32,
    /// Number of requests that ended in the last second.
    pub finished: u32,
}
