//! How the store answered the write of a placement record.

use crate::ids::StoreVersion;

/// Answer to a write, as far as its writer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The record has been written with this version.
    Written(StoreVersion),
    /// Nothing has been written.
    Refused,
    /// No answer came; the record may have been written, now or later.
    InDoubt,
}
