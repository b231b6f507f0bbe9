//! A value read from the platform's store.

use bytes::Bytes;
use jujuberoad::ids::StoreVersion;

/// Value of a key and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Version, which increases with each write of the key.
    pub version: StoreVersion,
    /// The value.
    pub bytes: Bytes,
}
