//! State of a target as a router knows it from slot grants.

use strum::{Display, EnumIs};

/// State of a target according to the current grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIs)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetState {
    /// No valid grant.
    Unknown,
    /// The home grants no slots because the target is closed, or the router has
    /// suspended it.
    Closed,
    /// The target is in cold start.
    Cold,
    /// The target can serve its full load.
    Warm,
}
