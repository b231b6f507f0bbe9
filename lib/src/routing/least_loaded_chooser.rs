//! Baseline choice: the target with the most free slots in the newest grant.

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;

/// Ranks targets by the free slots in the newest grant from their slot home.
///
/// The grants may be outdated, so routers that rank by them alone may pick the
/// same target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedChooser;

impl TargetChooser for LeastLoadedChooser {
    fn rank(&self, loads: &[TargetLoad], _hint: &ChoiceHint) -> Vec<usize> {
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(loads[*index].free));
        order
    }
}
