//! State of a group, as `jujube status` shows it.

use serde::Serialize;

/// State of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Availability zone of the group.
    pub zone: String,
    /// Model that the group serves.
    pub model: String,
    /// Generation of the group, as in the placement record.
    pub generation: u64,
    /// State in the placement record: active or draining.
    pub intent: String,
    /// State that its home router reports, such as warm or cold; `None` if no router reports it.
    pub state: Option<String>,
    /// VMs of the group in the order of their ranks.
    pub members: Vec<String>,
}
