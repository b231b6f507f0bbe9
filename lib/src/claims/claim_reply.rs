//! The home router's reply to a claim.

use serde::Deserialize;
use serde::Serialize;

use super::ClaimAnswer;

/// Whether a router may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim succeeded; the claiming router may run the request once.
    Granted,
    /// The key was already claimed; holds the result of that request if known.
    AlreadyClaimed(Option<ClaimAnswer>),
    /// The receiving router is not the home of the shard.
    NotHome,
}
