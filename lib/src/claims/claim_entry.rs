//! A claimed key.

use serde::Deserialize;
use serde::Serialize;

use super::ClaimAnswer;
use crate::ids::Nonce;

/// Who claimed a key and how the request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Drawn by the claimer for this one attempt.
    pub nonce: Nonce,
    /// End of the request; nothing while it is in progress or unknown.
    pub answer: Option<ClaimAnswer>,
}
