//! Properties of a request that affect the choice of a target.

/// Properties of a request on which the choice of a target depends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceHint {
    /// Hash of the first part of the prompt; requests with the same hash benefit
    /// from the prefix cache of the same engine.
    pub prefix: Option<u64>,
}
