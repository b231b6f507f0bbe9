//! What a chooser knows about a request.

/// Properties of a request on which the choice of a target depends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceHint {
    /// Hash of the first part of the prompt; requests that share it profit
    /// from the same engine's prefix cache.
    pub prefix: Option<u64>,
}
