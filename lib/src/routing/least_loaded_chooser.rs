//! Baseline choice: the fewest requests in progress by the newest reports.

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;

/// Takes the target with the most free slots by the last word from its home.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedChooser;

impl TargetChooser for LeastLoadedChooser {
    fn rank(&self, loads: &[TargetLoad], _hint: &ChoiceHint) -> Vec<usize> {
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(loads[*index].free));
        order
    }
}
