//! Where a VM stands in its group.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// State of a member; a head passes through all of them, others only the first two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// Its weights are being loaded.
    Joining,
    /// It holds its part of the model.
    Ready,
    /// A head that serves.
    Open,
    /// A head that finishes what it has.
    Closing,
    /// A head that gave up after a member was lost.
    Broken,
}
