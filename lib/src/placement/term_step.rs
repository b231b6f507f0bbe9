//! Next step of a placer after a write of a placement record.

/// What a placer does once a write has been answered or has timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermStep {
    /// Continue; the record was written and is in force.
    Continue,
    /// Read the record back to find out whether it was written.
    ReadBack,
    /// End the term; the next one begins by reading the record.
    End,
}
