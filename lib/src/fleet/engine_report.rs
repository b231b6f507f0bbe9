//! What an engine says of itself when it is asked.

use serde::Deserialize;
use serde::Serialize;

use super::GroupMembership;
use crate::ids::Incarnation;
use crate::ids::ModelId;

/// The state of an engine at the moment of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number that differs between two starts under one name.
    pub incarnation: Incarnation,
    /// Group that it has joined.
    pub membership: Option<GroupMembership>,
    /// Model that it holds as a member.
    pub model: Option<ModelId>,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelId>,
    /// Orders that it has begun since its start.
    pub sequence: u64,
    /// Time that its work takes, against what is usual, in percent.
    pub step_time_percent: u32,
}

impl Default for EngineReport {
    fn default() -> Self {
        Self {
            incarnation: 0,
            membership: None,
            model: None,
            staged: Vec::new(),
            sequence: 0,
            step_time_percent: Self::NOMINAL_STEP_TIME_PERCENT,
        }
    }
}

impl EngineReport {
    /// The usual pace.
    pub const NOMINAL_STEP_TIME_PERCENT: u32 = 100;
    /// Pace from which a member is not worth its place: a first event takes 0.25 s of
    /// an objective of 0.3 to 0.5 s.
    const SLOW_STEP_TIME_PERCENT: u32 = 200;

    /// Tells whether the engine holds up every group that it is in.
    pub fn is_slow(&self) -> bool {
        self.step_time_percent >= Self::SLOW_STEP_TIME_PERCENT
    }
}
