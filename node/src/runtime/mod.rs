//! The executor, orderly stops, logs and metrics.

mod daemon_main;
mod executor;
mod log_setup;
mod metric_sink;
mod stop_signal;

pub use daemon_main::daemon_main;
pub use executor::run;
pub use executor::spawn;
pub use log_setup::set_up_log;
pub use metric_sink::MetricSink;
pub use stop_signal::StopSignal;
pub use stop_signal::StopTrigger;
