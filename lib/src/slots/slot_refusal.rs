//! Why a home grants no slots.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Reason for a grant of nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotRefusal {
    /// The asked router is not home to the target, or by another list.
    NotHome,
    /// The home has just taken over and waits for older grants to lapse.
    TakingOver,
    /// The home's own view of the records is too old to act on.
    StaleView,
    /// The target may take no new work.
    Closed,
    /// All slots are held by others.
    Full,
}
