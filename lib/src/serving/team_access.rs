//! API keys and priority of a team.

use smol_str::SmolStr;

use crate::ids::TeamId;

/// API keys of a team and the priority of its requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name of the team.
    pub team: TeamId,
    /// API keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Priority that overrides that of the route.
    pub priority: Option<u32>,
}
