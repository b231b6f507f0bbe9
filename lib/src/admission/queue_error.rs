//! Reasons for which a queue rejects a request.

use std::time::Instant;

/// Immediate rejection of a request, with a time to retry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueueError {
    /// The team has reached its limit of waiting requests.
    #[error("team {team:?} already has {limit} requests waiting")]
    TeamFull {
        /// The team.
        team: crate::ids::TeamId,
        /// Maximum number of waiting requests.
        limit: u64,
        /// When the queue is expected to have room.
        retry_at: Instant,
    },
    /// At the current drain rate, the request would miss its deadline.
    #[error("{ahead} requests wait before this one, more than can be served in time")]
    DeadlineUnreachable {
        /// Number of requests ahead of it.
        ahead: u64,
        /// When they are expected to have been served.
        retry_at: Instant,
    },
}

impl QueueError {
    /// Returns when the caller should retry.
    pub fn retry_at(&self) -> Instant {
        match self {
            Self::TeamFull { retry_at, .. } | Self::DeadlineUnreachable { retry_at, .. } => {
                *retry_at
            }
        }
    }
}
