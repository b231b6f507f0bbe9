//! Configuration of a team.

use crate::ids::TeamId;

/// A `[team NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSpec {
    /// Name of the team, sent by callers in the `jujube-team` header.
    pub team: TeamId,
    /// Weight by which capacity is shared among teams with queued requests.
    pub share: u64,
    /// Maximum number of queued requests of the team in one router.
    pub queue: u64,
}
