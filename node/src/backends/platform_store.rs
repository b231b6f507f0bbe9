//! The platform's key-value service.

use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;

use super::StoreError;
use super::StoredValue;

/// Compare-and-swap, leases and watches over small values.
///
/// Every call ends by its `deadline`. A write that ends with an error for
/// which `StoreError::is_in_doubt` holds may have taken effect.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads a key; nothing when it does not exist.
    async fn get(&self, key: &str, deadline: Instant) -> Result<Option<StoredValue>, StoreError>;

    /// Waits until a key has another version than `known`, or until the
    /// deadline, at which nothing is returned.
    async fn watch(
        &self,
        key: &str,
        known: StoreVersion,
        deadline: Instant,
    ) -> Result<Option<StoredValue>, StoreError>;

    /// Writes a key that holds version `expected`, 0 when it must not exist.
    ///
    /// A key that is tied to a `lease` vanishes when that lapses.
    async fn put(
        &self,
        key: &str,
        expected: StoreVersion,
        value: Bytes,
        lease: Option<u64>,
        deadline: Instant,
    ) -> Result<StoreVersion, StoreError>;

    /// Deletes a key that holds version `expected`.
    async fn delete(
        &self,
        key: &str,
        expected: StoreVersion,
        deadline: Instant,
    ) -> Result<(), StoreError>;

    /// Returns the keys that start with `prefix`.
    async fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError>;

    /// Opens a lease that lapses after `ttl_ms` without renewal.
    async fn open_lease(&self, ttl_ms: Milliseconds, deadline: Instant) -> Result<u64, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: u64, deadline: Instant) -> Result<(), StoreError>;
}
