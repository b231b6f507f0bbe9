//! Idempotency keys: the request of a claimed key runs at most once.
//!
//! The home router of a shard writes claims in batches to pages in the
//! platform's store by compare-and-swap. A claim is granted only after its
//! write is known to have succeeded. Each page is sealed before the next one is
//! created, so a router that wrongly believes it is the home of a shard cannot
//! claim a key that another router has claimed.

mod claim_action;
mod claim_answer;
mod claim_entry;
mod claim_key;
mod claim_ledger;
mod claim_page;
mod claim_reply;

pub use claim_action::ClaimAction;
pub use claim_answer::ClaimAnswer;
pub use claim_entry::ClaimEntry;
pub use claim_key::ClaimKey;
pub use claim_ledger::ClaimLedger;
pub use claim_page::ClaimPage;
pub use claim_reply::ClaimReply;

use crate::ids::Milliseconds;

/// Number of shards that keys are distributed over.
pub const CLAIM_SHARDS: u64 = 16;
/// Number of entries after which a page is sealed.
pub const MAX_PAGE_ENTRIES: usize = 256;
/// Minimum time for which a page is kept after its creation.
pub const CLAIM_RETENTION_MS: Milliseconds = 600_000;
/// Minimum time between two writes of a shard.
pub const CLAIM_WRITE_INTERVAL_MS: Milliseconds = 100;
/// Largest response body that is stored with a claim, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 512;
