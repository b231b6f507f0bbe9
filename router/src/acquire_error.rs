//! Why a request gets no slot.

use std::time::Instant;

use jujuberoad::admission::QueueError;

/// A request that ends without having been sent anywhere.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    /// It may not wait.
    #[error(transparent)]
    Queue(#[from] QueueError),
    /// It has waited for as long as it may.
    #[error("no slot became free in time")]
    Expired {
        /// When a slot is expected.
        retry_at: Instant,
    },
    /// This router's view of the records is too old to act on.
    #[error("this router has lost touch with the platform's store")]
    StaleView {
        /// When to come back.
        retry_at: Instant,
    },
    /// No target that could serve it is in service.
    #[error("nothing that could serve the request is in service")]
    NoTarget {
        /// When to come back.
        retry_at: Instant,
    },
}

impl AcquireError {
    /// Returns when the caller should come back.
    pub(crate) fn retry_at(&self) -> Instant {
        match self {
            Self::Queue(error) => error.retry_at(),
            Self::Expired { retry_at }
            | Self::StaleView { retry_at }
            | Self::NoTarget { retry_at } => *retry_at,
        }
    }
}
