//! Results of range reads and watches of the store.

use bytes::Bytes;
use jujuberoad::era::StoreEra;
use jujuberoad::ids::StoreVersion;

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Version of its last change.
    pub version: StoreVersion,
}

/// All items whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRange {
    /// Era of the store in which the items were read.
    pub era: StoreEra,
    /// The items, ordered by key.
    pub items: Vec<StoredItem>,
    /// Version of the store after which to watch for changes.
    pub as_of: StoreVersion,
    /// What is wrong with items that cannot be read. They are left out, or have an empty value.
    pub unreadable: Vec<String>,
}

impl StoredRange {
    /// Empties the largest values until the range has at most `max_bytes`, so that a few large
    /// values do not cost the others; returns whether that was enough.
    pub fn leave_out_largest(&mut self, max_bytes: usize) -> bool {
        let item_sizes = self
            .items
            .iter()
            .map(|item| item.key.len() + item.value.len());
        let reason_sizes = self.unreadable.iter().map(String::len);
        let mut byte_count: usize = item_sizes.chain(reason_sizes).sum();
        while byte_count > max_bytes {
            let largest = self.items.iter_mut().max_by_key(|item| item.value.len());
            let Some(item) = largest.filter(|item| !item.value.is_empty()) else {
                return false;
            };
            let value = std::mem::take(&mut item.value);
            let reason = format!(
                "value of key {:?}: its {} bytes are the most in a range of over {max_bytes}",
                item.key,
                value.len()
            );
            byte_count = byte_count - value.len() + reason.len();
            self.unreadable.push(reason);
        }
        true
    }
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoredItem),
    /// A key was deleted or its lease expired.
    Deleted {
        /// The key.
        key: String,
        /// Version of the deletion.
        version: StoreVersion,
    },
}

impl StoreEvent {
    /// Returns the version of the change.
    pub fn version(&self) -> StoreVersion {
        match self {
            Self::Written(item) => item.version,
            Self::Deleted { version, .. } => *version,
        }
    }
}

/// Number of changes from which an answer may be cut. Stores end long answers at some 500 items.
const CUT_EVENTS: usize = 250;
/// Size of the values from which an answer may be cut. Stores end long answers at about 1 MB.
const CUT_VALUE_BYTES: usize = 300_000;

/// Changes below a prefix, in order of version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreEvents {
    /// The changes; empty if the wait timed out.
    pub events: Vec<StoreEvent>,
    /// Version after which to continue the watch. The store may have newer changes already.
    pub as_of: StoreVersion,
    /// What is wrong with changes that cannot be read. They are left out, or have an empty value.
    pub unreadable: Vec<String>,
}

impl StoreEvents {
    /// Returns whether the store may have ended the answer before its newest change. Nothing in
    /// the answer says so.
    pub fn may_be_cut(&self) -> bool {
        let value_bytes = |event: &StoreEvent| match event {
            StoreEvent::Written(item) => item.value.len(),
            StoreEvent::Deleted { .. } => 0,
        };
        let total_bytes: usize = self.events.iter().map(value_bytes).sum();
        self.events.len() >= CUT_EVENTS || total_bytes >= CUT_VALUE_BYTES
    }
}
