//! A conditional write of a placement record.

use super::PlacementRecord;
use crate::ids::StoreVersion;

/// A compare-and-swap that a placer has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWrite {
    /// The new record.
    pub record: PlacementRecord,
    /// Version that the stored record must have; 0 when no record may exist.
    pub expected: StoreVersion,
}
