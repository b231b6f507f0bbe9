//! A change of a pace that is logged.

use crate::ids::EndpointId;

/// Why a pace was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PaceCause {
    /// The target is new, or heads another group than before.
    Opened,
    /// The target is no longer excluded.
    Recovered,
    /// Too many of its answers were late.
    Late,
}

/// A start or a cut of the pace of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceStep {
    /// The target.
    pub endpoint: EndpointId,
    /// What led to the step.
    pub cause: PaceCause,
    /// Pace before it.
    pub from: u32,
    /// Pace after it.
    pub to: u32,
}
