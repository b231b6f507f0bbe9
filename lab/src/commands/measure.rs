//! `jujube-lab measure`: benchmarks of single decisions under virtual time.

use crate::measure::fair_queue_bench;
use crate::measure::group_choice_bench;
use crate::measure::overload_bench;
use crate::measure::placement_bench;
use crate::measure::planner_bench;
use crate::measure::propagation_bench;
use crate::measure::scaling_bench;
use crate::measure::slot_bench;

/// Names of the benchmarks.
pub const BENCH_NAMES: [&str; 8] = [
    "choice",
    "fair",
    "overload",
    "placement",
    "planner",
    "slopes",
    "slots",
    "spread",
];

/// Runs the benchmark `name` and returns its table; `None` when there is no such benchmark.
pub fn measure(name: &str, seed: u64) -> Option<String> {
    match name {
        "choice" => Some(group_choice_bench(seed)),
        "fair" => Some(fair_queue_bench(seed)),
        "overload" => Some(overload_bench(seed)),
        "placement" => Some(placement_bench(seed)),
        "planner" => Some(planner_bench(seed)),
        "slopes" => Some(scaling_bench()),
        "slots" => Some(slot_bench(seed)),
        "spread" => Some(propagation_bench(seed)),
        _ => None,
    }
}
