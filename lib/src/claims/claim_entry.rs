//! The record of one claimed key.

use serde::Deserialize;
use serde::Serialize;

use super::ClaimAnswer;
use crate::ids::Nonce;

/// Who claimed a key and how the request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Random number that identifies the attempt holding the claim.
    pub nonce: Nonce,
    /// Result of the request; `None` while it is in progress or its result is unknown.
    pub answer: Option<ClaimAnswer>,
}
