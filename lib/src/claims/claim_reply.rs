//! The home's answer to a claim.

use serde::Deserialize;
use serde::Serialize;

use super::ClaimAnswer;

/// Whether a router may run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key is claimed for the asker, who may run the request once.
    Granted,
    /// The key was claimed before; this is how that request ended, if known.
    AlreadyClaimed(Option<ClaimAnswer>),
    /// The asked router is not home to the shard.
    NotHome,
}
