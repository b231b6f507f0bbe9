//! Why a target takes no new work by the records alone.

use strum::{Display, EnumString};

/// Reason for which a target is closed, whatever its engines report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ClosedReason {
    /// Operators have taken its availability zone out of service.
    ZoneOut,
    /// Its placer is emptying it.
    Draining,
    /// Operators want it, or one of its VMs, emptied.
    Leaving,
    /// The configuration no longer has its model or one of its VMs.
    Unconfigured,
}
