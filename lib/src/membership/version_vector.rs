//! Versions of the records that a router holds.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use super::ViewKey;
use crate::ids::StoreVersion;

/// Highest version seen of each record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    versions: BTreeMap<ViewKey, StoreVersion>,
}

impl VersionVector {
    /// Returns the version of `key`, or 0 if none has been seen.
    pub fn get(&self, key: &ViewKey) -> StoreVersion {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Raises the version of `key` to `version`; returns whether it was lower.
    pub fn raise(&mut self, key: &ViewKey, version: StoreVersion) -> bool {
        if version <= self.get(key) {
            return false;
        }
        self.versions.insert(key.clone(), version);
        true
    }

    /// Returns the records and their versions.
    pub fn iter(&self) -> impl Iterator<Item = (&ViewKey, StoreVersion)> {
        self.versions.iter().map(|(key, version)| (key, *version))
    }

    /// Returns a hash of the vector.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (key, version) in &self.versions {
            hasher.update(key.store_key().as_bytes());
            hasher.update(&[0]);
            hasher.update(&version.to_le_bytes());
        }
        hasher.digest()
    }

    /// Returns whether `other` has a newer version of any record.
    pub fn is_behind(&self, other: &Self) -> bool {
        other.iter().any(|(key, version)| version > self.get(key))
    }
}
