//! A request that waits for a slot.

use std::time::Instant;

use super::RequestClass;
use crate::ids::TeamId;

/// Queue entry of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// Number that the router assigned to the request.
    pub id: u64,
    /// Team that sent it.
    pub team: TeamId,
    /// Fair-queueing weight of that team.
    pub share: u64,
    /// Maximum number of waiting requests of that team.
    pub team_limit: u64,
    /// Priority class.
    pub class: RequestClass,
    /// Time at which the request is rejected.
    pub expires_at: Instant,
}
