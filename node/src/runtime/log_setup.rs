//! Configuration of the default logger.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Error while the logger is set up.
#[derive(Clone, Debug, thiserror::Error)]
#[error("log level {level:?}: {message}")]
pub struct LogError {
    level: String,
    message: String,
}

/// Writes log lines of `level` and above to standard error, which the platform collects.
/// The level `off` disables the log.
pub fn set_up_log(level: &str) -> Result<(), LogError> {
    let fail = |message: String| LogError {
        level: level.to_owned(),
        message,
    };
    let filter = if level == "off" {
        LevelFilter::Off
    } else {
        let parsed = level
            .parse::<Level>()
            .map_err(|error| fail(error.to_string()))?;
        LevelFilter::MoreSevereEqual(parsed)
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .build()
        .map_err(|error| fail(error.to_string()))?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter)
        .build()
        .map_err(|error| fail(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Capacity of the log queue in lines; lines are dropped while it is full.
const LOG_QUEUE_LINES: usize = 4_096;

/// Writes lines without a prefix to standard output, from a separate thread, so that a
/// slow reader of the output never delays a request.
pub fn set_up_decision_log() -> Result<(), LogError> {
    let fail = |message: String| LogError {
        level: "info".to_owned(),
        message,
    };
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(formatter)
        .build()
        .map_err(|error| fail(error.to_string()))?;
    let pool = ThreadPool::builder()
        .capacity(LOG_QUEUE_LINES.try_into().expect("a capacity above zero"))
        .build()
        .map_err(|error| fail(error.to_string()))?;
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(sink))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .map_err(|error| fail(error.to_string()))?;
    let logger = Logger::builder()
        .sink(Arc::new(queue))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()
        .map_err(|error| fail(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
