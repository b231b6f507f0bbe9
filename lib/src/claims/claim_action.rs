//! What the claim ledger asks its host to do.

use super::ClaimPage;
use super::ClaimReply;
use crate::ids::StoreVersion;

/// An effect outside the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read all pages of the shard and call `load_succeeded`.
    Load,
    /// Write a page if it still has version `expected`, then call `write_succeeded`.
    Write {
        /// The new page.
        page: ClaimPage,
        /// Version that the store must hold; 0 when the page is new.
        expected: StoreVersion,
    },
    /// Delete a page that nobody needs any more.
    Delete {
        /// Number of the page.
        number: u64,
        /// Version that the store must hold.
        expected: StoreVersion,
    },
    /// Answer a request.
    Reply {
        /// Number that the host gave to the request.
        claim_id: u64,
        /// The answer.
        reply: ClaimReply,
    },
}
