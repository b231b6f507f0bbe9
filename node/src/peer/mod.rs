//! The peer protocol, over UDP.

mod peer_handler;
mod peer_socket;

pub use peer_handler::PeerHandler;
pub use peer_socket::PeerSocket;
