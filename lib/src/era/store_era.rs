//! Versions that never go back when the store is restored.

use crate::ids::StoreVersion;

/// Number of restores of the store before now.
pub type StoreEra = u64;

/// Distance between the versions of one revision in successive eras.
///
/// It exceeds the number of revisions that a restore can take back: a copy is some seconds
/// old, and at 3,200 writes a second this is more than an hour's worth. Versions are fences,
/// and a fence times a million is a group epoch, so that epochs stay below 2^53 for some 500
/// restores and below 2^63 for over 500,000.
pub const REVISIONS_PER_ERA: u64 = 1 << 24;

/// Returns the version of a revision: a later one in the same era and any revision that
/// is written after a restore have higher versions.
pub fn era_version(era: StoreEra, revision: u64) -> StoreVersion {
    era.saturating_mul(REVISIONS_PER_ERA)
        .saturating_add(revision)
}
