//! `jujube-lab measure-outage`: attempts per call during a zone outage.

use std::time::Duration;
use std::time::Instant;

use jujuberoad_node::runtime;
use smol::channel;

use super::LabOptions;
use super::load;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;
use crate::load::LoadPlan;

/// Duration of the load, in milliseconds.
const LOAD_DURATION_MS: u64 = 20_000;
/// Time under load before the zone fails.
const OUTAGE_DELAY: Duration = Duration::from_secs(6);

/// Starts a fleet, kills all VMs of its first zone under a load of streams, and prints the report
/// of the load and how many requests the engines began per call.
pub async fn measure_outage(options: &LabOptions, rate: u64) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    fleet.wait_ready().await?;
    let mut plan = LoadPlan::mixed(
        &fleet.standins.config,
        fleet.router_addresses(),
        rate,
        LOAD_DURATION_MS,
    );
    plan.stream_percent = 100;
    plan.entry_percent = 0;
    let (sender, receiver) = channel::bounded(1);
    runtime::spawn(async move {
        let _ = sender.send(load(plan, None).await).await;
    });
    smol::Timer::at(Instant::now() + OUTAGE_DELAY).await;
    let zone = fleet
        .standins
        .config
        .zones
        .keys()
        .next()
        .cloned()
        .unwrap_or_default();
    for vm in fleet
        .standins
        .config
        .vms
        .values()
        .filter(|vm| vm.zone == zone)
    {
        if let Some(engine) = fleet.standins.registry.engine(&vm.vm) {
            engine.lock().expect("engine lock").is_alive = false;
        }
        if let Some(server) = fleet.standins.registry.server(&vm.vm) {
            server.stop_listening();
        }
    }
    let report = receiver.recv().await;
    let report = report
        .map_err(|_| FleetError::NotReady("the load task ended without a report".to_owned()))??;
    let mut begun = 0;
    for engine in fleet.standins.registry.engines() {
        begun += engine.lock().expect("engine lock").counts.begun;
    }
    print!("{report}");
    println!(
        "begun by engines {begun}, {:.3} a call",
        begun as f64 / report.calls.max(1) as f64
    );
    Ok(())
}
