//! Messages between the processes of the system, encoded with `postcard`.

mod peer_frame;
mod peer_message;
mod relay_head;

pub use peer_frame::PeerFrame;
pub use peer_message::PeerMessage;
pub use relay_head::RelayHead;
pub use relay_head::RelayHeadError;

/// Version of the peer protocol; frames with another version are dropped.
pub const PEER_VERSION: u8 = 1;
/// Maximum size of an encoded frame in bytes, such that it fits in one UDP datagram.
pub const MAX_FRAME_BYTES: usize = 8_192;
