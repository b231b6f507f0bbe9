//! The configuration as stored in the platform's store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Nonce;
use crate::ids::Revision;

/// All configuration files in one value, so that a single compare-and-swap
/// detects concurrent edits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Incremented by each accepted edit.
    pub revision: Revision,
    /// Random number by which a writer recognizes its own write when the result of the
    /// write is unknown.
    pub nonce: Nonce,
    /// Content of each file by file name.
    pub files: BTreeMap<SmolStr, String>,
}
