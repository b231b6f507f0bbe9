//! `jujube-router`: the router daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujube_router::RouterDaemon;
use jujuberoad_node::runtime;

/// Router daemon of jujuberoad: admits requests, chooses a complete and healthy
/// target for each and streams the responses back.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/jujube/router.ini",
    error_code(1, "The settings are invalid or a port is in use."),
    note = "SIGTERM stops the router once the requests in progress have ended."
)]
struct RouterArgs {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: RouterArgs = argh::from_env();
    runtime::daemon_main(&args.settings, |settings| RouterDaemon::new(settings).run())
}
