//! Baseline choice: round robin.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::ChoiceHint;
use super::TargetChooser;
use super::TargetLoad;

/// Ranks the targets in turn, regardless of their load.
#[derive(Debug, Default)]
pub struct RoundRobinChooser {
    next: AtomicUsize,
}

impl TargetChooser for RoundRobinChooser {
    fn rank(&self, loads: &[TargetLoad], _hint: &ChoiceHint) -> Vec<usize> {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        (0..loads.len())
            .map(|offset| (first + offset) % loads.len())
            .collect()
    }
}
