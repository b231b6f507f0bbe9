//! A conditional change of the store.

use bytes::Bytes;
use jujuberoad::ids::StoreVersion;

use super::record_store::LeaseId;

/// Writes and deletions that happen together or not at all.
#[derive(Clone, Debug, Default)]
pub struct StoreTransaction {
    /// Versions that keys must have; 0 for a key that must not exist.
    pub conditions: Vec<(String, StoreVersion)>,
    /// Keys to write, each with the lease to which it is tied.
    pub writes: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to delete.
    pub deletions: Vec<String>,
}
