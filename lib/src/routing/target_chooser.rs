//! The border behind which ways of choosing a target vary.

use super::ChoiceHint;
use super::TargetLoad;

/// Orders the targets that may serve a request.
pub trait TargetChooser: Send + Sync {
    /// Returns indexes into `loads`, the best target first.
    ///
    /// The request goes to the first target in this order on which the router
    /// has a slot; for the ones before it slots are asked for.
    fn rank(&self, loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize>;
}
