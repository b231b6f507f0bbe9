//! The state that an engine reports when polled.

use serde::Deserialize;
use serde::Serialize;

use super::GroupMembership;
use crate::ids::Incarnation;
use crate::ids::ModelId;

/// State of an engine when it answered the poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Distinguishes starts of an endpoint under the same name.
    pub incarnation: Incarnation,
    /// Membership in the group that it has joined.
    pub membership: Option<GroupMembership>,
    /// Model that it has loaded as a group member.
    pub model: Option<ModelId>,
    /// Models whose weights are stored on its host.
    pub staged: Vec<ModelId>,
    /// Number of orders that it has started to execute since its start.
    pub sequence: u64,
    /// Time of a step relative to the nominal step time, in percent.
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
    /// Relative step time of an engine at its nominal speed.
    pub const NOMINAL_STEP_TIME_PERCENT: u32 = 100;
    /// Relative step time from which a member counts as slow. A first event normally takes
    /// 0.25 s, so twice that misses objectives of 0.3 to 0.5 s.
    const SLOW_STEP_TIME_PERCENT: u32 = 200;

    /// Returns whether the engine slows down its whole group.
    pub fn is_slow(&self) -> bool {
        self.step_time_percent >= Self::SLOW_STEP_TIME_PERCENT
    }
}
