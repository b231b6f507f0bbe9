//! `jujube-lab demo`: drains a zone and restores it under load.

use std::time::Duration;

use jujuberoad_node::runtime;
use smol::channel;

use super::LabOptions;
use super::load;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;
use crate::load::LoadPlan;
use crate::load::LoadReport;

/// Duration of the load, in milliseconds.
const LOAD_DURATION_MS: u64 = 20_000;
/// Time under load before the zone is drained, and again before it is restored.
const ZONE_CHANGE_DELAY: Duration = Duration::from_secs(6);

/// Starts a fleet and a load, drains a zone by adding one configuration file, restores it by
/// removing that file, and returns the report of the load.
pub async fn demo(options: &LabOptions, rate: u64) -> Result<LoadReport, FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    println!(
        "fleet: {} stand-in VMs, {} routers",
        fleet.standins.config.vms.len(),
        fleet.nodes.len()
    );
    fleet.wait_ready().await?;
    println!("{}", jujube::status(&fleet.store).await?);
    let plan = LoadPlan::mixed(
        &fleet.standins.config,
        fleet.router_addresses(),
        rate,
        LOAD_DURATION_MS,
    );
    let history = options.dir.join("history.jsonl");
    let (sender, receiver) = channel::bounded(1);
    runtime::spawn(async move {
        let _ = sender.send(load(plan, Some(&history)).await).await;
    });
    let Some(zone) = fleet.standins.config.zones.keys().next().cloned() else {
        return Err(FleetError::NotReady(
            "the configuration has no zone".to_owned(),
        ));
    };
    smol::Timer::after(ZONE_CHANGE_DELAY).await;
    print!("{}", jujube::drain(&fleet.store, "zone", &zone).await?);
    smol::Timer::after(ZONE_CHANGE_DELAY).await;
    let drain_file = format!("90-drain-zone-{zone}.ini");
    print!("{}", jujube::remove(&fleet.store, &drain_file).await?);
    let report = receiver.recv().await;
    let report = report
        .map_err(|_| FleetError::NotReady("the load task ended without a report".to_owned()))??;
    println!("\nwhat callers saw:\n{report}");
    println!("{}", jujube::status(&fleet.store).await?);
    Ok(report)
}
