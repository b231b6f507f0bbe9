//! Whether a target may take new work.

use std::time::Instant;

use strum::{Display, EnumIs};

/// Verdict on one target; an open verdict ends with the first report that lapses.
#[derive(Clone, Debug, PartialEq, Eq, Display, EnumIs)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetHealth {
    /// Every member bears full load.
    Warm {
        /// When the verdict lapses.
        until: Instant,
    },
    /// At least one member is in cold start.
    Cold {
        /// When the verdict lapses.
        until: Instant,
    },
    /// New work must not start.
    Closed {
        /// Which member keeps the target closed, and why.
        reason: String,
    },
}
