//! The recorded end of a claimed request.

use serde::Deserialize;
use serde::Serialize;

use crate::outcome::Outcome;

/// What everyone who sends the same key is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// How the request ended.
    pub outcome: Outcome,
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer; empty when it was too long to keep.
    pub body: Vec<u8>,
    /// Whether the body was too long to keep.
    pub is_truncated: bool,
}
