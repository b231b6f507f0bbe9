//! The envelope of a peer message.

use serde::Deserialize;
use serde::Serialize;

use super::PeerMessage;
use crate::ids::Nonce;
use crate::ids::RouterId;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Version of the protocol.
    pub version: u8,
    /// Router that sends the frame.
    pub sender: RouterId,
    /// Random number that ties an answer to its question.
    pub exchange: Nonce,
    /// The message.
    pub message: PeerMessage,
}
