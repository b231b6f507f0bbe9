//! Result of one call, as the caller saw it.

use serde::Deserialize;
use serde::Serialize;

use super::CallKind;

/// Result of one call, as the caller saw it; one line of a history file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Sequence number of the call in its run.
    pub call: u64,
    /// Kind of the call.
    pub kind: CallKind,
    /// Team that sent it.
    pub team: String,
    /// Idempotency key of an entry; empty for other kinds.
    pub key: String,
    /// Index of the router that it was sent to, in the order of the plan.
    pub router: usize,
    /// Start, in microseconds since the start of the run.
    pub started_us: u64,
    /// End, in microseconds since the start of the run.
    pub ended_us: u64,
    /// HTTP status; 0 when no response head arrived.
    pub status: u16,
    /// Outcome that the router reported; empty when it reported none.
    pub outcome: String,
    /// Whether the answer was complete and matched the one expected for this call.
    pub is_whole: bool,
    /// Value of the `retry-after` header, in seconds; 0 when it was absent or not a number.
    pub retry_after: u64,
    /// Time to the first token, in microseconds; 0 when none arrived.
    pub first_token_us: u64,
    /// Times between consecutive tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Description of the failure, for people; empty on success.
    pub detail: String,
}
