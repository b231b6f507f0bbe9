//! Failure of a call to the platform's store.

use jujuberoad::ids::StoreVersion;

use super::CallError;

/// Why the store did not do what was asked.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The key does not hold the expected version; nothing was written.
    #[error("key {key:?} holds version {found}, not {expected}")]
    Conflict {
        /// The key.
        key: String,
        /// Version that was expected; 0 for a key that does not exist.
        expected: StoreVersion,
        /// Version that was found.
        found: StoreVersion,
    },
    /// The store refused the call, by its rate limit or in an outage; nothing
    /// was written.
    #[error("the store refused the call for {key:?}: status {status}")]
    Refused {
        /// The key.
        key: String,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// Changes since the watched version are no longer on record.
    #[error("the store no longer holds the changes below {prefix:?} since version {after}")]
    HistoryCompacted {
        /// The prefix.
        prefix: String,
        /// Version from which changes were asked for.
        after: StoreVersion,
    },
    /// The lease is unknown or has lapsed.
    #[error("lease {0} has lapsed")]
    LeaseExpired(u64),
    /// The call failed; a write may have taken effect.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl StoreError {
    /// Tells whether the store did not do its work, for whatever reason.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Call(_))
    }

    /// Tells whether a write may have taken effect all the same.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Call(error) if error.was_sent)
    }
}
