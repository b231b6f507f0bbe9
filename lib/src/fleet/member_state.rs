//! State of a VM as a member of a group.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// State of a group member. Only a head goes beyond `Ready`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Loads its part of the model.
    Joining,
    /// Has loaded its part of the model.
    Ready,
    /// Head that accepts requests.
    Open,
    /// Head that accepts no new requests and finishes the running ones.
    Closing,
    /// Head that has stopped serving because a member failed.
    Broken,
}
