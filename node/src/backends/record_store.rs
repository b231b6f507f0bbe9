//! A key-value service that is read and watched by prefix.

use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;

use super::StoreError;
use super::StoreEvents;
use super::StoreTransaction;
use super::StoredRange;

/// Number of a lease.
pub type LeaseId = u64;

/// Ranges, watches, conditional changes and leases.
///
/// Every call ends by its `deadline`. A change that ends with an error for
/// which `StoreError::is_in_doubt` holds may have taken effect, or may still do.
#[async_trait]
pub trait RecordStore: Send + Sync {
    /// Reads all items below `prefix`. Pages of a long range may differ in time.
    async fn read_prefix(&self, prefix: &str, deadline: Instant)
    -> Result<StoredRange, StoreError>;

    /// Waits for changes below `prefix` after version `after`, for `wait_ms` at most.
    async fn watch_prefix(
        &self,
        prefix: &str,
        after: StoreVersion,
        wait_ms: Milliseconds,
    ) -> Result<StoreEvents, StoreError>;

    /// Makes a change if its conditions hold; returns its version.
    async fn transact(
        &self,
        transaction: StoreTransaction,
        deadline: Instant,
    ) -> Result<StoreVersion, StoreError>;

    /// Opens a lease that lapses after `ttl_ms` without renewal.
    async fn open_lease(
        &self,
        ttl_ms: Milliseconds,
        deadline: Instant,
    ) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), StoreError>;

    /// Ends a lease and removes its keys.
    async fn end_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), StoreError>;
}
