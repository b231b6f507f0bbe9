//! The configuration as the platform's store keeps it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::ids::Nonce;
use crate::ids::Revision;

/// All configuration files in one value, so that writers meet at one
/// compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Grows by one with each accepted change.
    pub revision: Revision,
    /// Drawn by the writer, who finds out by it whether a write took effect.
    pub nonce: Nonce,
    /// Text of each file by its name.
    pub files: BTreeMap<SmolStr, String>,
}
