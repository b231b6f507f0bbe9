//! Word that a version is the newest one.

use serde::Deserialize;
use serde::Serialize;

use super::ViewKey;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// What the platform's store named as the newest version of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedVersion {
    /// The record.
    pub key: ViewKey,
    /// Its newest version.
    pub version: StoreVersion,
    /// Time since the store was asked, in milliseconds.
    pub age_ms: Milliseconds,
}
