//! Trait for the platform's key-value store.

use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;

use super::StoreError;
use super::StoredValue;

/// A key-value store with compare-and-swap, leases and watches of single keys.
///
/// Every call returns by its `deadline`. A write may have taken effect despite an error
/// if [`StoreError::is_in_doubt`] returns true for it.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads a key; returns `None` if it does not exist.
    async fn get(&self, key: &str, deadline: Instant) -> Result<Option<StoredValue>, StoreError>;

    /// Waits until the version of a key differs from `known`. Returns `None` if that
    /// does not happen before the deadline, or if the key does not exist.
    async fn watch(
        &self,
        key: &str,
        known: StoreVersion,
        deadline: Instant,
    ) -> Result<Option<StoredValue>, StoreError>;

    /// Writes a key if its version is `expected`; 0 means that it must not exist.
    ///
    /// A key written with a `lease` is deleted when the lease expires.
    async fn put(
        &self,
        key: &str,
        expected: StoreVersion,
        value: Bytes,
        lease: Option<u64>,
        deadline: Instant,
    ) -> Result<StoreVersion, StoreError>;

    /// Deletes a key if its version is `expected`.
    async fn delete(
        &self,
        key: &str,
        expected: StoreVersion,
        deadline: Instant,
    ) -> Result<(), StoreError>;

    /// Returns the keys that start with `prefix`.
    async fn list(&self, prefix: &str, deadline: Instant) -> Result<Vec<String>, StoreError>;

    /// Opens a lease that expires `ttl_ms` after its last renewal.
    async fn open_lease(&self, ttl_ms: Milliseconds, deadline: Instant) -> Result<u64, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: u64, deadline: Instant) -> Result<(), StoreError>;
}
