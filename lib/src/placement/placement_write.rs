//! A write of a placement record.

use super::PlacementRecord;
use crate::ids::StoreVersion;

/// A write that a placer has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWrite {
    /// The new record.
    pub record: PlacementRecord,
    /// Version that the store must hold; 0 when there must be none.
    pub expected: StoreVersion,
}
