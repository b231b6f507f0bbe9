//! The key that identifies a claimed request.

use xxhash_rust::xxh3::xxh3_128;

use super::CLAIM_SHARDS;

/// Hash of the team, the service and the caller's idempotency key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ClaimKey(u128);

impl ClaimKey {
    /// Hashes the parts that identify a request.
    pub fn from_parts(team: &str, service: &str, idempotency_key: &str) -> Self {
        let text = format!("{team}\0{service}\0{idempotency_key}");
        Self(xxh3_128(text.as_bytes()))
    }

    /// Returns the shard that stores the key.
    pub fn shard(&self) -> u64 {
        (self.0 % u128::from(CLAIM_SHARDS)) as u64
    }
}
