//! Benchmarks of the request path with real processes, and of single decisions in
//! simulation.
//!
//! Each simulation compares a policy with its baseline on a small model; the
//! same seed gives the same result. The scaling benchmark measures the running
//! time of decisions and the encoded size of records.

mod fair_queue_bench;
mod fleet_fixture;
mod group_choice_bench;
mod overload_bench;
mod path_bench;
mod placement_bench;
mod planner_bench;
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
pub use planner_bench::planner_bench;
pub use process_usage::ProcessUsage;
pub use propagation_bench::propagation_bench;
pub use scaling_bench::scaling_bench;
pub use slot_bench::slot_bench;

use hdrhistogram::Histogram;

/// Largest time that a histogram records, in microseconds; longer times are clamped.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Returns an empty histogram for times in microseconds.
fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("the bounds are valid")
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Samples the time to the next event of a Poisson process that has `rate` events per
/// unit of time.
fn next_interval(random: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - random.f64()).ln() / rate
}
