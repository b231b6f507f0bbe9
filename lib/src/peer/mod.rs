//! Messages between the processes of the system, encoded with `postcard`.

mod peer_digest;
mod peer_frame;
mod peer_message;
mod pool_waiting;
mod relay_head;
mod target_outcomes;
mod version_note;

pub use peer_digest::PeerDigest;
pub use peer_frame::PeerFrame;
pub use peer_message::PeerMessage;
pub use pool_waiting::PoolWaiting;
pub use relay_head::RelayHead;
pub use relay_head::RelayHeadError;
pub use target_outcomes::TargetOutcomes;
pub use version_note::VersionNote;

/// Version of the peer protocol; frames with another version are dropped.
pub const PEER_VERSION: u8 = 1;
/// Maximum size of an encoded frame in bytes, such that it fits in one UDP datagram.
pub const MAX_FRAME_BYTES: usize = 8_192;
