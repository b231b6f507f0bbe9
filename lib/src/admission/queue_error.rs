//! Why a request may not wait.

use std::time::Instant;

/// A request that is turned away at once, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueueError {
    /// The team already has as many requests waiting as it may.
    #[error("team {team:?} already has {limit} requests waiting")]
    TeamFull {
        /// The team.
        team: crate::ids::TeamId,
        /// Requests that may wait.
        limit: u64,
        /// When room is expected.
        retry_at: Instant,
    },
    /// At the present pace the request would not be served in time.
    #[error("{ahead} requests wait before this one, more than can be served in time")]
    DeadlineUnreachable {
        /// Requests before it.
        ahead: u64,
        /// When they are expected to have been served.
        retry_at: Instant,
    },
}

impl QueueError {
    /// Returns when the caller should come back.
    pub fn retry_at(&self) -> Instant {
        match self {
            Self::TeamFull { retry_at, .. } | Self::DeadlineUnreachable { retry_at, .. } => {
                *retry_at
            }
        }
    }
}
