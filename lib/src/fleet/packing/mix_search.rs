//! Searches for changes of domain mixes that raise the lowest coverage.

use super::ModelDemand;
use super::mix_change::MixChange;

/// The changes found so far that raise the lowest coverage most.
pub(super) struct MixSearch<'a> {
    totals: &'a [usize],
    demands: &'a [ModelDemand],
    best_coverage: Vec<f64>,
    /// Domains to change with their new mixes; empty if nothing is better.
    pub(super) best: Vec<(usize, Vec<usize>)>,
}

impl<'a> MixSearch<'a> {
    pub(super) fn new(totals: &'a [usize], demands: &'a [ModelDemand]) -> Self {
        Self {
            totals,
            demands,
            best_coverage: sorted_coverage(totals, demands),
            best: Vec::new(),
        }
    }

    /// Keeps the changes if they are better together than the best ones so far.
    pub(super) fn try_changes(&mut self, changes: &[&MixChange<'_>]) {
        let mut totals = self.totals.to_vec();
        for change in changes {
            for (model, total) in totals.iter_mut().enumerate() {
                *total = *total - change.old[model] + change.new[model];
            }
        }
        let coverage = sorted_coverage(&totals, self.demands);
        if !is_lexically_less(&self.best_coverage, &coverage) {
            return;
        }
        self.best_coverage = coverage;
        let mixes = changes.iter();
        self.best = mixes
            .map(|change| (change.domain, change.new.to_vec()))
            .collect();
    }
}

/// Returns the capacity of the models relative to their shares, lowest first.
pub(super) fn sorted_coverage(totals: &[usize], demands: &[ModelDemand]) -> Vec<f64> {
    let pairs = totals.iter().zip(demands);
    let mut coverage: Vec<f64> = pairs
        .map(|(count, demand)| demand.coverage(*count))
        .collect();
    coverage.sort_by(f64::total_cmp);
    coverage
}

fn is_lexically_less(left: &[f64], right: &[f64]) -> bool {
    for (left, right) in left.iter().zip(right) {
        if left != right {
            return left < right;
        }
    }
    false
}
