//! What an engine says about itself.

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

/// A load report of one engine or plain endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// VM or endpoint that reports.
    pub vm: VmId,
    /// Drawn anew each time the engine starts.
    pub incarnation: Incarnation,
    /// Group for which it runs; empty when it runs for none.
    pub group: GroupId,
    /// Generation of that group.
    pub generation: Generation,
    /// Model that is loaded; empty when none is.
    pub model: SmolStr,
    /// Version of that model.
    pub version: SmolStr,
    /// How far it is from bearing full load.
    pub phase: EnginePhase,
    /// Requests in progress.
    pub in_flight: u64,
    /// Time since these values were sampled, in milliseconds.
    #[serde(default)]
    pub age_ms: Milliseconds,
    /// Highest fence of an order that it has taken.
    pub fence: Fence,
}
