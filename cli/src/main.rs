//! `jujube`: the operator's command-line tool.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujube::CommandError;
use jujube::ConfigStore;
use jujuberoad_node::runtime;
use serde::Serialize;

/// Operates a jujuberoad fleet through a folder of small INI files.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} check examples/valverde",
    example = "{command_name} --store 10.0.0.5:7000 add 90-limpieza-norte.ini",
    example = "{command_name} --store 10.0.0.5:7000 status --json",
    error_code(1, "The files or the change are refused; nothing changed."),
    error_code(2, "The platform's store cannot be reached; nothing changed."),
    error_code(3, "No answer from the store; the change may have been accepted.")
)]
struct JujubeArgs {
    /// address of the platform's store (default: 127.0.0.1:7000)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7000))")]
    store: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Add(AddArgs),
    Remove(RemoveArgs),
    Drain(DrainArgs),
    Show(ShowArgs),
    Status(StatusArgs),
    Explain(ExplainArgs),
}

/// Check a folder of configuration files without changing anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// folder of INI files
    #[argh(positional)]
    folder: PathBuf,
}

/// Compare a folder with the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct DiffArgs {
    /// folder of INI files
    #[argh(positional)]
    folder: PathBuf,
}

/// Replace the configuration in force with the files of a folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// folder of INI files
    #[argh(positional)]
    folder: PathBuf,
    /// revision that must be in force, otherwise the change is refused
    #[argh(option)]
    base: Option<u64>,
}

/// Add one file to the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct AddArgs {
    /// path of the file
    #[argh(positional)]
    file: PathBuf,
}

/// Remove one file from the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct RemoveArgs {
    /// name of the file
    #[argh(positional)]
    name: String,
}

/// Take a zone, VM or endpoint out of service; `jujube remove` brings it back.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// zone, vm or endpoint
    #[argh(positional, from_str_fn(parse_drain_kind))]
    kind: String,
    /// name of the zone, VM or endpoint
    #[argh(positional)]
    name: String,
}

/// Print the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {}

/// Print the revision in force and the state of all routers and groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {}

/// Explain a request by the related log lines of all processes.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "jujube explain 9c41d07be2a35f68 edge-1.log edge-2.log",
    example = "cat edge-*.log | jujube explain 9c41d07be2a35f68 --json"
)]
struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files; standard input when none is given
    #[argh(positional)]
    files: Vec<PathBuf>,
}

fn parse_drain_kind(text: &str) -> Result<String, String> {
    match text {
        "zone" | "vm" | "endpoint" => Ok(text.to_owned()),
        _ => Err(format!("{text:?}: expected zone, vm or endpoint")),
    }
}

fn main() -> ExitCode {
    let args: JujubeArgs = argh::from_env();
    let output = runtime::run(1, run(&args));
    match output {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(args: &JujubeArgs) -> Result<String, CommandError> {
    let store = ConfigStore::at(args.store);
    let json = args.json;
    match &args.command {
        Command::Check(check) => jujube::check(&check.folder).map(|report| render(&report, json)),
        Command::Diff(diff) => Ok(render(&jujube::diff(&store, &diff.folder).await?, json)),
        Command::Apply(apply) => Ok(render(
            &jujube::apply(&store, &apply.folder, apply.base).await?,
            json,
        )),
        Command::Add(add) => Ok(render(&jujube::add(&store, &add.file).await?, json)),
        Command::Remove(remove) => Ok(render(&jujube::remove(&store, &remove.name).await?, json)),
        Command::Drain(drain) => Ok(render(
            &jujube::drain(&store, &drain.kind, &drain.name).await?,
            json,
        )),
        Command::Show(_) => Ok(render(&jujube::show(&store).await?, json)),
        Command::Explain(explain) => {
            let report = jujube::explain(&explain.request, &explain.files)?;
            Ok(render(&report, json))
        }
        Command::Status(_) => Ok(render(&jujube::status(&store).await?, json)),
    }
}

fn render<R: Display + Serialize>(report: &R, json: bool) -> String {
    if !json {
        return report.to_string();
    }
    let json = serde_json::to_string_pretty(report).unwrap_or_default();
    format!("{json}\n")
}
