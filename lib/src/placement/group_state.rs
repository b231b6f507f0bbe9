//! Whether a group should accept new requests.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Desired state of a group, set by the placer.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum GroupState {
    /// Accepts requests whenever all members are ready.
    #[default]
    Active,
    /// Finishes the requests in progress and accepts no new ones.
    Draining,
}
