//! The `main` of a daemon.

use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;

use super::run;
use super::set_up_log;
use crate::settings::NodeSettings;

/// Reads the settings at `path`, sets up the log and runs `daemon` to its end.
///
/// Returns the exit code: 0 after an orderly stop, 1 when the settings are
/// refused or the daemon could not start.
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
