//! Confirmation that a version is the newest one.

use serde::Deserialize;
use serde::Serialize;

use super::ViewKey;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// The newest version of a record according to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedVersion {
    /// The record.
    pub key: ViewKey,
    /// Newest version of the record.
    pub version: StoreVersion,
    /// Time since the store was queried, in milliseconds.
    pub age_ms: Milliseconds,
}
