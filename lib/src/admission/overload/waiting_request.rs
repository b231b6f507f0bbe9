//! A request that waits for a slot, and its place in the order.

use std::time::Instant;

use super::PoolPressure;
use crate::ids::TeamId;

/// What the order of waiting requests depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Team of the caller, if it has one.
    pub team: Option<TeamId>,
    /// Until when a slot lets it meet its objective.
    pub late_at: Instant,
    /// Until when a slot lets it be answered before its caller's deadline.
    pub give_up_at: Instant,
    /// Whether the caller was refused before; it does not return a second time.
    pub is_returning: bool,
}

/// Place of a request in the order; the least is served first.
///
/// Compared by lateness, priority, use of the pool by the team, and arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRank {
    is_late: bool,
    priority: u32,
    team_level: u64,
    number: u64,
}

impl WaitingRequest {
    /// Returns whether the request can no longer meet its objective.
    pub fn is_late(&self, now: Instant) -> bool {
        now >= self.late_at
    }

    /// Returns the place of the request, the `number`-th that arrived at this router.
    pub fn rank(&self, number: u64, pressure: &PoolPressure, now: Instant) -> RequestRank {
        RequestRank {
            is_late: self.is_late(now),
            priority: self.priority,
            team_level: pressure.team_level(self.team.as_ref()),
            number,
        }
    }
}
