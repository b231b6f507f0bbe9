//! The recorded result of a claimed request.

use serde::Deserialize;
use serde::Serialize;

use crate::outcome::Outcome;

/// The result returned to every request with the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// How the request ended.
    pub outcome: Outcome,
    /// HTTP status code of the response.
    pub status: u16,
    /// Response body; empty when it exceeds `MAX_STORED_ANSWER_BYTES`.
    pub body: Vec<u8>,
    /// Whether the body was dropped because it exceeds the size limit.
    pub is_truncated: bool,
}
