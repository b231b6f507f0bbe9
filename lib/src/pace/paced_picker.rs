//! Picks a target with regard to the paces.

use super::PaceTable;
use crate::fleet::ServingTarget;
use crate::fleet::TargetPicker;

/// Picks among the targets of one pool, some of which have just started.
pub struct PacedPicker<'a> {
    /// The paces.
    pub paces: &'a PaceTable,
    /// Picks among the targets that are not passed over.
    pub picker: TargetPicker<'a>,
    /// Number of routers, including this one.
    pub routers: usize,
}

impl PacedPicker<'_> {
    /// Returns the best target, or `None` if none is free; `random` returns numbers in `0..1`.
    ///
    /// Targets that start are passed over at random, see [`PaceTable::start_chance`], unless no
    /// other target is free.
    pub fn pick<'t>(
        &self,
        targets: &'t [ServingTarget],
        mut random: impl FnMut() -> f64,
    ) -> Option<&'t ServingTarget> {
        let picker = &self.picker;
        let mut passed_over = Vec::new();
        for target in targets {
            if !self.paces.is_starting(&target.endpoint) {
                continue;
            }
            let load = picker.load(target);
            let chance = self
                .paces
                .start_chance(target, load, self.routers, picker.now);
            if chance < 1.0 && random() >= chance {
                passed_over.push(&target.endpoint);
            }
        }
        if passed_over.is_empty() {
            return picker.pick(targets, random);
        }
        let avoided = |target: &ServingTarget| {
            passed_over.contains(&&target.endpoint) || (picker.avoided)(target)
        };
        let others = TargetPicker {
            loads: picker.loads,
            zone: picker.zone,
            avoided: &avoided,
            bound: picker.bound,
            queue_limit: picker.queue_limit,
            now: picker.now,
        };
        let found = others.pick(targets, &mut random);
        found.or_else(|| picker.pick(targets, random))
    }
}
