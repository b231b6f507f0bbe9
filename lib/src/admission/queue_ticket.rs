//! A request that waits for a slot.

use std::time::Instant;

use super::RequestClass;
use crate::ids::TeamId;

/// Place of a request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket {
    /// Number that the router gave to the request.
    pub id: u64,
    /// Team that sent it.
    pub team: TeamId,
    /// Weight of that team.
    pub share: u64,
    /// Requests of that team that may wait.
    pub team_limit: u64,
    /// How urgently its caller waits.
    pub class: RequestClass,
    /// Moment at which it is turned away.
    pub expires_at: Instant,
}
