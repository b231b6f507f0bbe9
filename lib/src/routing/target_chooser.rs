//! Interface of the target selection strategies.

use super::ChoiceHint;
use super::TargetLoad;

/// Ranks the targets that can serve a request.
pub trait TargetChooser: Send + Sync {
    /// Returns indexes into `loads`, best target first.
    ///
    /// The request goes to the first target in this order for which the router
    /// holds a slot; the router requests slots for the targets ranked above it.
    fn rank(&self, loads: &[TargetLoad], hint: &ChoiceHint) -> Vec<usize>;
}
