//! The history of one request.

use serde::Deserialize;
use serde::Serialize;

use super::CallKind;

/// What a caller saw of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Number of the call in its run.
    pub call: u64,
    /// What it asked for.
    pub kind: CallKind,
    /// Team that sent it.
    pub team: String,
    /// Idempotency key, for entries.
    pub key: String,
    /// Index of the router that took it.
    pub router: usize,
    /// Start, in microseconds since the start of the run.
    pub started_us: u64,
    /// End, in microseconds since the start of the run.
    pub ended_us: u64,
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// Outcome that the router named; empty when it named none.
    pub outcome: String,
    /// Whether the answer was whole, in order and the caller's own.
    pub is_whole: bool,
    /// Seconds after which the caller was asked to come back; 0 when it was not.
    pub retry_after: u64,
    /// Time to the first token, in microseconds; 0 when none came.
    pub first_token_us: u64,
    /// Times between two tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// What went wrong, for people.
    pub detail: String,
}
