//! A page of claims, one value in the platform's store.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::ClaimEntry;
use super::ClaimKey;

/// Claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimPage {
    /// Number of the page within its shard.
    pub number: u64,
    /// When the page was opened, in milliseconds of Unix time.
    pub opened_unix_ms: u64,
    /// Whether the page takes no new claims.
    pub is_sealed: bool,
    /// Claims by key.
    pub entries: BTreeMap<ClaimKey, ClaimEntry>,
}

impl ClaimPage {
    /// Returns the key under which the store keeps page `number` of `shard`.
    pub fn store_key(shard: u64, number: u64) -> String {
        format!("{}{number:012}", Self::store_prefix(shard))
    }

    /// Returns the part that the keys of all pages of `shard` share.
    pub fn store_prefix(shard: u64) -> String {
        format!("claims/{shard:03}/")
    }
}
