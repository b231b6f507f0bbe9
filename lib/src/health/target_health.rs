//! Health of a target: whether it may accept new requests.

use std::time::Instant;

use strum::{Display, EnumIs};

/// Health of one target. `Warm` and `Cold` expire with the first member report to do so.
#[derive(Clone, Debug, PartialEq, Eq, Display, EnumIs)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetHealth {
    /// Every member is ready for full load.
    Warm {
        /// Time at which this state expires.
        until: Instant,
    },
    /// At least one member is in cold start.
    Cold {
        /// Time at which this state expires.
        until: Instant,
    },
    /// No new requests may start.
    Closed {
        /// Member that keeps the target closed, and why.
        reason: String,
    },
}
