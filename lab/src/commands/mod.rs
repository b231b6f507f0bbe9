//! The commands of the lab, one per file.

mod demo;
mod lab_options;
mod load;
mod measure;
mod measure_control;
mod measure_outage;
mod measure_path;
mod report;
mod up;

pub use demo::demo;
pub use lab_options::LabOptions;
pub use load::load;
pub use measure::BENCH_NAMES;
pub use measure::measure;
pub use measure_control::measure_control;
pub use measure_outage::measure_outage;
pub use measure_path::measure_path;
pub use report::report;
pub use up::up;
