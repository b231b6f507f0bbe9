//! Items of the store and the changes between them.

use bytes::Bytes;
use jujuberoad::ids::StoreVersion;

/// One key and its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Version of its last change.
    pub version: StoreVersion,
}

/// All items below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRange {
    /// The items by key.
    pub items: Vec<StoredItem>,
    /// Version of the store from which changes are to be watched.
    pub as_of: StoreVersion,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoredItem),
    /// A key was deleted or its lease lapsed.
    Deleted {
        /// The key.
        key: String,
        /// Version of the deletion.
        version: StoreVersion,
    },
}

/// Changes below a prefix, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreEvents {
    /// The changes; none when the wait ended first.
    pub events: Vec<StoreEvent>,
    /// Version from which to watch on.
    pub as_of: StoreVersion,
}
