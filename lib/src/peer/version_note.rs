//! A version of the store that a router has seen.

use serde::Deserialize;
use serde::Serialize;

use crate::era::StoreEra;
use crate::ids::Milliseconds;
use crate::ids::StoreVersion;

/// Newest version that a router has applied, and when the store confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNote {
    /// Era of the store.
    pub era: StoreEra,
    /// Version of the newest change that was applied.
    pub version: StoreVersion,
    /// Time since the store last confirmed that there was no newer change.
    pub age_ms: Milliseconds,
}
