//! Error of a call to the platform's store.

use jujuberoad::era::StoreEra;
use jujuberoad::ids::StoreVersion;

use super::CallError;

/// Reason why a call to the store failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The key does not have the expected version; nothing was written.
    #[error("key {key:?} has version {found}, expected {expected}")]
    Conflict {
        /// The key.
        key: String,
        /// Expected version; 0 for a key that must not exist.
        expected: StoreVersion,
        /// Version that the key has; 0 if it does not exist or the version is unknown.
        found: StoreVersion,
    },
    /// The store refused the call because of its rate limit or an outage; nothing was
    /// written.
    #[error("the store refused the call for {key:?}: status {status}")]
    Refused {
        /// Key, prefix or kind of object that the call was about.
        key: String,
        /// HTTP status of the refusal.
        status: u16,
    },
    /// The history since the watched version has been compacted.
    #[error("the store no longer holds the changes below {prefix:?} since version {after}")]
    HistoryCompacted {
        /// Watched prefix.
        prefix: String,
        /// Version after which changes were requested.
        after: StoreVersion,
    },
    /// The store was restored from a copy since the state that the call refers to.
    #[error("the answer for {key:?} is of era {found} of the store, expected {expected}")]
    EraChanged {
        /// Key, prefix or kind of object that the call was about.
        key: String,
        /// Era that the call refers to, or the newest one if the answer is older.
        expected: StoreEra,
        /// Era of the answer.
        found: StoreEra,
    },
    /// The store did not answer calls while the watch was pending, and answers again.
    #[error("the watch of {prefix:?} was pending in an outage of the store")]
    WatchOutdated {
        /// Watched prefix.
        prefix: String,
    },
    /// The lease is unknown or has expired.
    #[error("lease {0} is unknown or has expired")]
    LeaseExpired(u64),
    /// The call failed; a write may still have taken effect.
    #[error(transparent)]
    Call(#[from] CallError),
}

impl StoreError {
    /// Returns whether the store is unavailable: it refused the call or the call failed.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::Call(_))
    }

    /// Returns whether a write may have taken effect despite the error.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::Call(error) if error.was_sent)
    }
}
