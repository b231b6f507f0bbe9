//! Result of the write of a placement record.

use crate::ids::StoreVersion;

/// Result of a write, as far as the writer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// The record was written and has this version.
    Written(StoreVersion),
    /// The store rejected the write, for example because of another version; nothing
    /// was written.
    Refused,
    /// The store did not respond; the write may have taken effect or may still do so.
    InDoubt,
}
