//! Reasons for which a home grants no slots.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Reason for a grant of zero slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum SlotRefusal {
    /// The router is not the home of the target, or uses another epoch of the
    /// router list.
    NotHome,
    /// The home has just taken over and waits for grants of its predecessor to expire.
    TakingOver,
    /// The home's view of the placement records is too old to act on.
    StaleView,
    /// The target accepts no new requests.
    Closed,
    /// All slots are held by other routers.
    Full,
}
