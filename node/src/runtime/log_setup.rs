//! Sets up the log of a process.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Failure to set up the log.
#[derive(Clone, Debug, thiserror::Error)]
#[error("log level {level:?}: {message}")]
pub struct LogError {
    level: String,
    message: String,
}

/// Sends log lines of `level` and above to standard error, which the platform collects.
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
