//! A survival that is told to other routers.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Milliseconds;
use crate::ids::PromptPartId;

/// Tells routers that a run with a part has lived long enough to clear it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SurvivalReport {
    /// Part of the run's prompt.
    pub part: PromptPartId,
    /// Time since the survival.
    pub age_ms: Milliseconds,
    /// Whether the answer was complete earlier and its engine may have crashed unseen.
    pub ended_early: bool,
}
