//! Evidence that an endpoint crashed.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::PromptPartId;

/// Longest list of parts of a report that is used. A prompt has fewer; a report adds those
/// of answers that were complete just before.
const MAX_REPORT_PARTS: usize = 32;
/// Longest part name that is used, in bytes.
const MAX_PART_BYTES: usize = 128;

/// Tells routers that the connection of a run was lost before the run had lived long
/// enough to clear its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Endpoint whose connection was lost.
    pub endpoint: EndpointId,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPartId>,
    /// Time at which the endpoint was last up, as far as the lost run shows. Peers are not told.
    #[serde(skip)]
    pub reached_at: Option<Instant>,
}

impl CrashReport {
    /// Returns the parts within the limits on their number and length.
    pub(super) fn usable_parts(&self) -> impl Iterator<Item = &PromptPartId> {
        let parts = self.parts.iter().take(MAX_REPORT_PARTS);
        parts.filter(|part| is_usable(part))
    }
}

/// Returns whether the name of a part is within its limits.
pub(super) fn is_usable(part: &str) -> bool {
    !part.is_empty() && part.len() <= MAX_PART_BYTES
}
