//! A page of claims, stored as one value in the platform's store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::ClaimEntry;
use super::ClaimKey;

/// A batch of claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimPage {
    /// Number of the page within its shard.
    pub number: u64,
    /// Creation time of the page, in milliseconds of Unix time.
    pub opened_unix_ms: u64,
    /// Whether the page accepts no new claims.
    pub is_sealed: bool,
    /// Claims by key.
    pub entries: BTreeMap<ClaimKey, ClaimEntry>,
}

impl ClaimPage {
    /// Returns the store key of page `number` of `shard`.
    pub fn store_key(shard: u64, number: u64) -> String {
        format!("{}{number:012}", Self::store_prefix(shard))
    }

    /// Returns the common prefix of the store keys of all pages of `shard`.
    pub fn store_prefix(shard: u64) -> String {
        format!("claims/{shard:03}/")
    }
}
