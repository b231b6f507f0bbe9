//! Whether a group is meant to take work.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Intent of the placer for a group.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Default, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum GroupState {
    /// Takes work whenever all members are ready.
    #[default]
    Active,
    /// Finishes what it has and takes nothing new.
    Draining,
}
