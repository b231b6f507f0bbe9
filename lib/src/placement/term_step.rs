//! What follows a write of a placement record.

/// What a placer does after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermStep {
    /// Go on; the record is in force.
    Continue,
    /// Read the record back to find out whether it was written.
    ReadBack,
    /// End the term; a new one begins with a read.
    End,
}
