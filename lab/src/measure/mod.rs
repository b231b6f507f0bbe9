//! Measurements: the path with real processes, the decisions under virtual time.

mod path_bench;
mod process_usage;

pub use path_bench::PathBench;
pub use path_bench::PathFigures;
pub use process_usage::ProcessUsage;
