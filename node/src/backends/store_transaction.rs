//! A conditional transaction of the store.

use bytes::Bytes;
use jujuberoad::era::StoreEra;
use jujuberoad::ids::StoreVersion;

use super::record_store::LeaseId;

/// Writes and deletions that take effect atomically if all conditions hold.
#[derive(Clone, Debug, Default)]
pub struct StoreTransaction {
    /// Era of the store that the conditions and leases belong to. A store in a newer era
    /// does not get the transaction.
    pub era: StoreEra,
    /// Required version of each key; 0 for a key that must not exist.
    pub conditions: Vec<(String, StoreVersion)>,
    /// Keys and values to write, each with the lease that the key belongs to, if any.
    pub writes: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to delete.
    pub deletions: Vec<String>,
}
