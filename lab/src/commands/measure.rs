//! `jujube-lab measure`: drivers of single decisions under virtual time.

use crate::measure::fair_queue_bench;
use crate::measure::group_choice_bench;
use crate::measure::overload_bench;
use crate::measure::placement_bench;
use crate::measure::propagation_bench;
use crate::measure::scaling_bench;
use crate::measure::slot_bench;

/// Names of the drivers.
pub const MEASURES: [&str; 7] = [
    "choice",
    "fair",
    "overload",
    "placement",
    "slopes",
    "slots",
    "spread",
];

/// Runs the driver called `name` and returns its table; nothing when there is none.
pub fn measure(name: &str, seed: u64) -> Option<String> {
    match name {
        "choice" => Some(group_choice_bench(seed)),
        "fair" => Some(fair_queue_bench(seed)),
        "overload" => Some(overload_bench(seed)),
        "placement" => Some(placement_bench(seed)),
        "slopes" => Some(scaling_bench()),
        "slots" => Some(slot_bench(seed)),
        "spread" => Some(propagation_bench(seed)),
        _ => None,
    }
}
