//! What operators say about a team of foremen or kiosks.

use crate::ids::TeamId;

/// A `[team NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// Name of the team, which callers send as `jujube-team`.
    pub team: TeamId,
    /// Weight in the division of capacity between teams that wait.
    pub share: u64,
    /// Requests of the team that may wait in one router.
    pub queue: u64,
}
