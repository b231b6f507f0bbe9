//! The keys of a team.

use smol_str::SmolStr;

use crate::ids::TeamId;

/// Who may call and with which rank.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamAccess {
    /// Name of the team.
    pub team: TeamId,
    /// Keys that its callers present.
    pub keys: Vec<SmolStr>,
    /// Rank that goes before that of the route.
    pub priority: Option<u32>,
}
