//! How a target has answered.

use serde::Deserialize;
use serde::Serialize;

/// Answers of one target, by whether they met the objective of their route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOutcomes {
    /// Answers within the objective.
    pub on_time: u32,
    /// Answers beyond it.
    pub late: u32,
}
