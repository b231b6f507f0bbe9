//! Measurements: the path with real processes, the decisions under virtual time.
//!
//! Each driver of a decision has a few lines of model and compares the
//! decision with its baseline in one run from one seed.

mod fair_queue_bench;
mod fleet_fixture;
mod group_choice_bench;
mod overload_bench;
mod path_bench;
mod placement_bench;
mod process_usage;
mod propagation_bench;
mod scaling_bench;
mod slot_bench;

pub use fair_queue_bench::fair_queue_bench;
pub use group_choice_bench::group_choice_bench;
pub use overload_bench::overload_bench;
pub use path_bench::PathBench;
pub use path_bench::PathFigures;
pub use placement_bench::placement_bench;
pub use process_usage::ProcessUsage;
pub use propagation_bench::propagation_bench;
pub use scaling_bench::scaling_bench;
pub use slot_bench::slot_bench;

use hdrhistogram::Histogram;

/// Longest time that the drivers tell apart, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Returns an empty histogram of times in microseconds.
fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid")
}

/// Returns a quantile in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Draws the time to the next event of a process with `rate` events a second.
fn next_interval(random: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - random.f64()).ln() / rate
}
