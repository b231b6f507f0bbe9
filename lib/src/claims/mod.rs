//! Idempotency keys: a key that has been claimed runs at most once.
//!
//! The home router of a shard writes claims in batches to pages in the
//! platform's store. A claim counts once the write is known to have taken
//! effect. Pages are sealed before the next one is opened, so a router that
//! wrongly believes it is home cannot claim a key that another has claimed.

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

/// Number of shards over which keys are spread.
pub const CLAIM_SHARDS: u64 = 16;
/// Entries after which a page is sealed.
pub const MAX_PAGE_ENTRIES: usize = 256;
/// Time for which a key is remembered after its page was opened.
pub const CLAIM_RETENTION_MS: Milliseconds = 600_000;
/// Time between two writes of a shard.
pub const CLAIM_WRITE_INTERVAL_MS: Milliseconds = 100;
/// Longest answer that is kept with a claim, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 512;
