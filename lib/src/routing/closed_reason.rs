//! Why the configuration or the placement records close a target.

use strum::{Display, EnumString};

/// Reason why a target accepts no new requests, regardless of its engines' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ClosedReason {
    /// Operators have taken its availability zone out of service.
    ZoneOut,
    /// The placer is draining it.
    Draining,
    /// Operators have marked it, or one of its VMs, as leaving.
    Leaving,
    /// The configuration no longer has its model or one of its VMs, or has a VM of it
    /// in another fabric domain.
    Unconfigured,
}
