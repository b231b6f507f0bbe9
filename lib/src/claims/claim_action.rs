//! I/O and replies that the claim ledger asks its caller to perform.

use super::ClaimPage;
use super::ClaimReply;
use crate::ids::StoreVersion;

/// A side effect that the caller of the ledger performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Reads all pages of the shard, then calls `load_succeeded` or `load_failed`.
    Load,
    /// Writes a page by compare-and-swap, then calls `write_succeeded` or `write_failed`.
    Write {
        /// The new page.
        page: ClaimPage,
        /// Version that the store must hold; 0 for a new page.
        expected: StoreVersion,
    },
    /// Deletes a page whose retention period has ended.
    Delete {
        /// Number of the page.
        number: u64,
        /// Version that the store must hold.
        expected: StoreVersion,
    },
    /// Replies to a claim.
    Reply {
        /// Identifier that the caller passed to `ClaimLedger::claim`.
        claim_id: u64,
        /// The reply.
        reply: ClaimReply,
    },
}
