//! `jujube-router`: the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujube_router::RouterDaemon;
use jujuberoad_node::runtime;
use jujuberoad_node::settings::NodeSettings;

/// Entry daemon of jujuberoad: admits requests, chooses a whole and healthy
/// target for each and streams the answers back.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/jujube/router.ini",
    error_code(1, "The settings are refused or a port is taken."),
    note = "SIGTERM stops the router once the requests in progress have ended."
)]
struct RouterArgs {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: RouterArgs = argh::from_env();
    let settings = match NodeSettings::read(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = runtime::set_up_log(&settings.log_level) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let threads = settings.threads;
    match runtime::run(threads, RouterDaemon::new(settings).run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
