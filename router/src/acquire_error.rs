//! Reasons why no slot could be acquired.

use std::time::Instant;

use jujuberoad::admission::QueueError;

/// Error of a request that ends without having been sent to any target.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    /// The queue did not accept the request.
    #[error(transparent)]
    Queue(#[from] QueueError),
    /// The time limit for waiting passed.
    #[error("no slot became free in time")]
    Expired {
        /// When the caller may retry.
        retry_at: Instant,
    },
    /// This router's view of the stored records is too old to act on.
    #[error("this router's view of the platform's store is too old")]
    StaleView {
        /// When the caller may retry.
        retry_at: Instant,
    },
    /// No open target can serve the request.
    #[error("no target that can serve the request is available")]
    NoTarget {
        /// When the caller may retry.
        retry_at: Instant,
    },
}

impl AcquireError {
    /// Returns the earliest time at which the caller should retry.
    pub(crate) fn retry_at(&self) -> Instant {
        match self {
            Self::Queue(error) => error.retry_at(),
            Self::Expired { retry_at }
            | Self::StaleView { retry_at }
            | Self::NoTarget { retry_at } => *retry_at,
        }
    }
}
