//! State of a group, as `jujube status` shows it.

use serde::Serialize;

/// State of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Model that it serves.
    pub model: String,
    /// Generation of the group.
    pub generation: u64,
    /// Whether it is active or draining.
    pub intent: String,
    /// What its home says: warm, cold, closed, or nothing.
    pub state: Option<String>,
    /// Its members by rank.
    pub members: Vec<String>,
}
