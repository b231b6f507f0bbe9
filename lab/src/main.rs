//! `jujube-lab`: stand-ins, load tool and demo. For tests and trials only.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jujube_lab::commands;
use jujube_lab::commands::LabOptions;
use jujube_lab::fleet::FleetError;
use jujube_lab::load::LoadPlan;
use jujube_lab::standins::EngineTiming;
use jujuberoad::config::FleetConfig;
use jujuberoad_node::runtime;

/// Threads of the runtime, which serves the stand-ins.
const RUNTIME_THREADS: u64 = 3;

/// Stand-ins, load tool and demo of jujuberoad, for tests and trials only.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} demo",
    example = "{command_name} demo --config examples/teranga --rate 200",
    example = "{command_name} up --dir /tmp/fleet"
)]
struct LabArgs {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
    Up(UpArgs),
    Load(LoadArgs),
    Measure(MeasureArgs),
    MeasureControl(MeasureControlArgs),
    MeasureOutage(MeasureOutageArgs),
    MeasurePath(MeasurePathArgs),
    Report(ReportArgs),
}

/// Start a fleet, send a load, drain a zone and restore it.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// folder of configuration files (default: examples/valverde)
    #[argh(option, default = "PathBuf::from(\"examples/valverde\")")]
    config: PathBuf,
    /// folder for settings and logs (default: target/lab)
    #[argh(option, default = "PathBuf::from(\"target/lab\")")]
    dir: PathBuf,
    /// calls per second (default: 100)
    #[argh(option, default = "100")]
    rate: u64,
}

/// Run a fleet until standard input closes.
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {
    /// folder of configuration files (default: examples/small)
    #[argh(option, default = "PathBuf::from(\"examples/small\")")]
    config: PathBuf,
    /// folder for settings, logs and fleet.ini
    #[argh(option)]
    dir: PathBuf,
    /// number of entry VMs (default: 4)
    #[argh(option, default = "4")]
    routers: usize,
}

/// Benchmark a decision against its baseline under virtual time.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct MeasureArgs {
    /// choice, fair, overload, placement, planner, slopes, slots or spread
    #[argh(positional)]
    name: String,
    /// seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Measure CPU time, memory and traffic of idle routers.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure-control")]
struct MeasureControlArgs {
    /// folder of configuration files (default: examples/valverde)
    #[argh(option, default = "PathBuf::from(\"examples/valverde\")")]
    config: PathBuf,
    /// folder for settings and logs (default: target/lab-control)
    #[argh(option, default = "PathBuf::from(\"target/lab-control\")")]
    dir: PathBuf,
    /// number of entry VMs (default: 4)
    #[argh(option, default = "4")]
    routers: usize,
}

/// Measure attempts per call during a zone outage.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure-outage")]
struct MeasureOutageArgs {
    /// folder of configuration files (default: examples/valverde)
    #[argh(option, default = "PathBuf::from(\"examples/valverde\")")]
    config: PathBuf,
    /// folder for settings and logs (default: target/lab-outage)
    #[argh(option, default = "PathBuf::from(\"target/lab-outage\")")]
    dir: PathBuf,
    /// calls per second (default: 500)
    #[argh(option, default = "500")]
    rate: u64,
}

/// Measure the overhead of one router on small requests and streams.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure-path")]
struct MeasurePathArgs {
    /// folder for settings and logs (default: target/lab-path)
    #[argh(option, default = "PathBuf::from(\"target/lab-path\")")]
    dir: PathBuf,
}

/// Render a history as one HTML page with plots.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
struct ReportArgs {
    /// history file written by `load` or `demo`
    #[argh(positional)]
    history: PathBuf,
    /// HTML file to write (default: report.html)
    #[argh(option, default = "PathBuf::from(\"report.html\")")]
    page: PathBuf,
}

/// Send a mixed load to routers.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// folder of configuration files, for teams, models and services
    #[argh(option, default = "PathBuf::from(\"examples/small\")")]
    config: PathBuf,
    /// address of a router; may be given several times
    #[argh(option)]
    router: Vec<SocketAddr>,
    /// calls per second (default: 100)
    #[argh(option, default = "100")]
    rate: u64,
    /// duration in seconds (default: 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// number of tokens in each answer (default: 16)
    #[argh(option, default = "16")]
    tokens: u64,
    /// percentage of calls that are streams (default: 60)
    #[argh(option, default = "60")]
    streams: u64,
    /// percentage of calls that are entries (default: 15)
    #[argh(option, default = "15")]
    entries: u64,
    /// seed of all random choices (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the history: one JSON object per call and line
    #[argh(option)]
    history: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Engine delays of the commands that are run by hand.
const DEFAULT_TIMING: EngineTiming = EngineTiming {
    load_ms: 1_000,
    warm_ms: 2_000,
    prefill_ms: 40,
    token_ms: 8,
};

/// Engine delays of the commands that measure routers: none.
const INSTANT_TIMING: EngineTiming = EngineTiming {
    load_ms: 0,
    warm_ms: 0,
    prefill_ms: 0,
    token_ms: 0,
};

fn main() -> ExitCode {
    let args: LabArgs = argh::from_env();
    match runtime::run(RUNTIME_THREADS, run(args.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), FleetError> {
    match command {
        Command::Demo(demo) => {
            let options = LabOptions {
                config: demo.config,
                dir: demo.dir,
                routers: 4,
                timing: DEFAULT_TIMING,
            };
            commands::demo(&options, demo.rate).await.map(|_| ())
        }
        Command::Up(up) => {
            let options = LabOptions {
                config: up.config,
                dir: up.dir,
                routers: up.routers,
                timing: DEFAULT_TIMING,
            };
            commands::up(&options).await
        }
        Command::Measure(measure) => {
            let Some(table) = commands::measure(&measure.name, measure.seed) else {
                let expected = commands::BENCH_NAMES.join(", ");
                let message = format!("measure {:?}: expected one of {expected}", measure.name);
                return Err(FleetError::Usage(message));
            };
            print!("{table}");
            Ok(())
        }
        Command::MeasureControl(control) => {
            let options = LabOptions {
                config: control.config,
                dir: control.dir,
                routers: control.routers,
                timing: INSTANT_TIMING,
            };
            commands::measure_control(&options).await
        }
        Command::MeasureOutage(outage) => {
            let options = LabOptions {
                config: outage.config,
                dir: outage.dir,
                routers: 4,
                timing: DEFAULT_TIMING,
            };
            commands::measure_outage(&options, outage.rate).await
        }
        Command::MeasurePath(path) => {
            let config = PathBuf::from("examples/bench");
            let options = LabOptions {
                config,
                dir: path.dir,
                routers: 1,
                timing: INSTANT_TIMING,
            };
            commands::measure_path(&options).await
        }
        Command::Report(report) => {
            let calls = commands::report(&report.history, &report.page)?;
            println!("{calls} calls in {}", report.page.display());
            Ok(())
        }
        Command::Load(load) => {
            let files = jujube::read_folder(&load.config)?;
            let config = FleetConfig::parse(&files).map_err(jujube::CommandError::Invalid)?;
            let mut plan = LoadPlan::mixed(&config, load.router, load.rate, load.seconds * 1_000);
            plan.tokens = load.tokens;
            plan.stream_percent = load.streams;
            plan.entry_percent = load.entries;
            plan.seed = load.seed;
            let report = commands::load(plan, load.history.as_deref()).await?;
            if load.json {
                println!(
                    "{}",
                    serde_json::to_string_pretty(&report).unwrap_or_default()
                );
            } else {
                print!("{report}");
            }
            Ok(())
        }
    }
}
