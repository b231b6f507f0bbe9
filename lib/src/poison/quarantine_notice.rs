//! Announcement of a quarantine.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Milliseconds;
use crate::ids::PromptPartId;

/// Tells routers which requests to reject, or to reject no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// A request that holds all of these parts is rejected.
    pub parts: BTreeSet<PromptPartId>,
    /// Number of crashes that the parts explain.
    pub crashes: u32,
    /// Remaining time of the quarantine; zero once it has been lifted.
    pub valid_ms: Milliseconds,
}
