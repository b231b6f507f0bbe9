//! The border between the peer socket and what answers its questions.

use std::net::SocketAddr;
use std::sync::Arc;

use jujuberoad::peer::PeerFrame;

use super::PeerSocket;

/// Answers questions of peers.
pub trait PeerHandler: Send + Sync {
    /// Takes a question; the answer may be sent at once or later.
    fn handle_request(&self, socket: &Arc<PeerSocket>, frame: PeerFrame, from: SocketAddr);
}
