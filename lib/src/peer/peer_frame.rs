//! The envelope of a peer message.

use serde::Deserialize;
use serde::Serialize;

use super::PeerMessage;
use crate::ids::Nonce;
use crate::ids::RouterId;

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Protocol version of the sender.
    pub version: u8,
    /// Router that sends the frame.
    pub sender: RouterId,
    /// Random number that correlates a response with its request.
    pub exchange: Nonce,
    /// The message.
    pub message: PeerMessage,
}
