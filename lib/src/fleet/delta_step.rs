//! What a router does with relayed changes.

/// What a router does with a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaStep {
    /// The delta continues the known version and is applied.
    Apply,
    /// The known version includes the delta.
    Outdated,
    /// Changes before the delta are missing, so the registry itself must be asked.
    Gap,
}
