//! Executor, graceful stop, logging and metrics.

mod daemon_main;
mod decision_log;
mod executor;
mod log_kind;
mod log_setup;
mod metric_sink;
mod stop_signal;

pub use daemon_main::daemon_main;
pub use decision_log::DecisionLog;
pub use executor::run;
pub use executor::spawn;
pub use log_kind::LogKind;
pub use log_setup::set_up_decision_log;
pub use log_setup::set_up_log;
pub use metric_sink::MetricSink;
pub use stop_signal::StopSignal;
pub use stop_signal::StopTrigger;
