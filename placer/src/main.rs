//! `jujube-placer`: the placement daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujube_placer::PlacerDaemon;
use jujuberoad_node::runtime;

/// Placement daemon of jujuberoad: forms groups, replaces lost members and
/// drains groups and VMs that must leave service.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/jujube/placer.ini",
    error_code(1, "The settings are refused."),
    note = "SIGTERM stops the placer; another one takes its zones over."
)]
struct PlacerArgs {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args: PlacerArgs = argh::from_env();
    runtime::daemon_main(&args.settings, |settings| PlacerDaemon::new(settings).run())
}
