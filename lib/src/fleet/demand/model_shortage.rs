//! A model that needs groups of another one.

use crate::ids::ModelId;

/// A short model and a model that uses far less of its slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelShortage {
    /// Model that is short.
    pub short: ModelId,
    /// Model with less than half of its use.
    pub donor: ModelId,
}
