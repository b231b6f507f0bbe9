//! Status and load that an engine reports.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::EnginePhase;
use crate::ids::Fence;
use crate::ids::Generation;
use crate::ids::GroupId;
use crate::ids::Incarnation;
use crate::ids::Milliseconds;
use crate::ids::VmId;

/// Status report of one engine or plain endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// VM or endpoint that sent the report.
    pub vm: VmId,
    /// Random identifier that changes each time the engine starts.
    pub incarnation: Incarnation,
    /// Group to which the engine belongs; empty if none.
    pub group: GroupId,
    /// Generation of that group.
    pub generation: Generation,
    /// Loaded model; empty if none.
    pub model: SmolStr,
    /// Version of that model.
    pub version: SmolStr,
    /// Start-up phase.
    pub phase: EnginePhase,
    /// Number of requests in progress.
    pub in_flight: u64,
    /// Age of these values, in milliseconds.
    #[serde(default)]
    pub age_ms: Milliseconds,
    /// Highest fencing token among the orders that the engine has accepted.
    pub fence: Fence,
}
