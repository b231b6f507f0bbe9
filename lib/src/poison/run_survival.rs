//! Evidence that parts do not crash engines.

use std::time::Instant;

use crate::ids::EndpointId;
use crate::ids::PromptPartId;

/// A run of this router that lived long enough to clear its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunSurvival {
    /// Endpoint of the run.
    pub endpoint: EndpointId,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPartId>,
    /// Time of the first event.
    pub started_at: Instant,
    /// Time at which the run had lived long enough.
    pub survived_at: Instant,
    /// Whether the answer was complete earlier and the endpoint has not been heard since, so that
    /// its crash may have gone unnoticed here.
    pub ended_early: bool,
}
