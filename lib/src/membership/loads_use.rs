//! What becomes of `Loads` from a peer.

/// What the receiver of `Loads` does with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadsUse {
    /// Counts them.
    Count,
    /// Drops them, because the hub of the receiver reports them as well.
    Drop,
    /// Drops them and tells the sender by a query that it need not send them.
    DropAndQuery,
}
