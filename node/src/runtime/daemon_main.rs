//! Common `main` function of the daemons.

use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;

use super::run;
use super::set_up_log;
use crate::settings::NodeSettings;

/// Reads the settings at `path`, sets up logging and runs `daemon` to completion.
///
/// Returns the exit code: 0 after a graceful stop, 1 if the settings are invalid or the
/// daemon failed.
pub fn daemon_main<C, F>(path: &Path, daemon: impl FnOnce(NodeSettings) -> F) -> ExitCode
where
    C: std::error::Error + Send + Sync + 'static,
    F: Future<Output = Result<(), Report<C>>>,
{
    let settings = match NodeSettings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = set_up_log(&settings.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let threads = settings.threads;
    match run(threads, daemon(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
