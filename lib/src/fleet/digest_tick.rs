//! Input and result of a round of digests.

use std::time::Instant;

use super::LoadTable;
use crate::ids::EndpointId;
use crate::ids::RouterId;
use crate::membership::HubStep;
use crate::peer::PeerDigest;
use crate::peer::PeerMessage;

/// A message and the peers that get it, by their position in the list of peers.
#[derive(Clone, Debug)]
pub struct DigestSend {
    /// The message, which is the same for all of them.
    pub message: PeerMessage,
    /// Positions of the receivers.
    pub receivers: Vec<usize>,
}

/// What is due at one time.
#[derive(Clone, Debug)]
pub struct DigestTick {
    /// Changes of the hub.
    pub step: HubStep,
    /// Messages in the order in which they are sent.
    pub sends: Vec<DigestSend>,
    /// When the next tick is due.
    pub next_at: Instant,
}

/// State of a router at the time of a tick.
pub struct DigestInput<'a> {
    /// Digest of the router alone, without outcomes.
    pub own: PeerDigest,
    /// Load of the endpoints.
    pub loads: &'a LoadTable,
    /// All other routers, in ascending order.
    pub peers: &'a [RouterId],
    /// Returns the speed of an endpoint, by which pending tokens age on their way through hubs.
    pub prefill_ms_per_token: &'a dyn Fn(&EndpointId) -> f64,
    /// Whether routers announce themselves and exchange digests without members.
    pub always_announces: bool,
}
