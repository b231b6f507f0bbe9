//! What a router knows about the slots of a target.

use strum::{Display, EnumIs};

/// How far a target can be used by this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIs)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetState {
    /// No grant counts at present.
    Unknown,
    /// The home has closed the target.
    Closed,
    /// The target is in cold start.
    Cold,
    /// The target bears full load.
    Warm,
}
