//! Trait for handlers of peer requests.

use std::net::SocketAddr;
use std::sync::Arc;

use jujuberoad::peer::PeerFrame;

use super::PeerSocket;

/// Handles the requests and one-way messages of peers.
pub trait PeerHandler: Send + Sync {
    /// Handles the message in `frame` that the peer at `from` sent. The response, if there
    /// is one, may be sent through `socket` at any later time.
    fn handle_request(&self, socket: &Arc<PeerSocket>, frame: PeerFrame, from: SocketAddr);
}
