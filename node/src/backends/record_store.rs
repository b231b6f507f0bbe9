//! Trait for a key-value store that is read and watched by prefix.

use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::era::StoreEra;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::StoreVersion;

use super::EraClock;
use super::StoreError;
use super::StoreEvents;
use super::StoreTransaction;
use super::StoredRange;

/// Identifier of a lease.
pub type LeaseId = u64;

/// A key-value store with range reads, prefix watches, transactions and leases.
///
/// The store may be restored from an older copy, which begins a new era. Versions are ordered
/// over all eras; see [`jujuberoad::era::era_version`]. A call fails with
/// [`StoreError::EraChanged`] if its answer belongs to another era than the one it refers to.
///
/// Every call returns by its `deadline`. A transaction may have taken effect despite an
/// error, or may still do so, if [`StoreError::is_in_doubt`] returns true for it.
#[async_trait]
pub trait RecordStore: Send + Sync {
    /// Returns the clock that knows the newest era of the store.
    fn eras(&self) -> &EraClock;

    /// Reads all items whose keys start with `prefix`. A long range is read in pages, which
    /// are not a consistent snapshot.
    async fn read_prefix(&self, prefix: &str, deadline: Instant)
    -> Result<StoredRange, StoreError>;

    /// Lets the store wait at most `wait_ms` for changes below `prefix` that are newer than
    /// version `after`, which a read or a watch has returned in `era`.
    async fn watch_prefix(
        &self,
        prefix: &str,
        era: StoreEra,
        after: StoreVersion,
        wait_ms: Milliseconds,
        deadline: Instant,
    ) -> Result<StoreEvents, StoreError>;

    /// Commits a transaction if its conditions hold; returns the version of the commit.
    async fn transact(
        &self,
        transaction: StoreTransaction,
        deadline: Instant,
    ) -> Result<StoreVersion, StoreError>;

    /// Opens a lease that expires `ttl_ms` after its last renewal.
    async fn open_lease(
        &self,
        ttl_ms: Milliseconds,
        deadline: Instant,
    ) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn end_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), StoreError>;
}
