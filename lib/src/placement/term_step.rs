//! What follows a write of a placement record.

use crate::ids::StoreVersion;
use crate::placement::PlacementRecord;

/// How the store answered a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The record has been written with this version.
    Written(StoreVersion),
    /// Nothing has been written.
    Refused,
    /// No answer came; the record may have been written, now or later.
    InDoubt,
}

/// What a placer does after a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TermStep {
    /// Go on; the record is in force.
    Continue,
    /// Read the record back to find out whether it was written.
    ReadBack,
    /// End the term; a new one begins with a read.
    End,
}

/// A write that a placer has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementWrite {
    /// The new record.
    pub record: PlacementRecord,
    /// Version that the store must hold; 0 when there must be none.
    pub expected: StoreVersion,
}
