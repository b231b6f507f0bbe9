//! `jujube-lab up`: runs a whole fleet until standard input closes.

use smol::io::AsyncReadExt;

use super::LabOptions;
use crate::fleet::FleetError;
use crate::fleet::LabFleet;

/// Starts the fleet, prints the path of the file with its addresses, and stops it when standard
/// input closes.
pub async fn up(options: &LabOptions) -> Result<(), FleetError> {
    let files = jujube::read_folder(&options.config)?;
    let fleet = LabFleet::start(files, options.routers, options.timing, &options.dir).await?;
    let path = fleet.write_addresses()?;
    println!("starting; addresses in {}", path.display());
    fleet.wait_ready().await?;
    println!("ready");
    let mut input = smol::Unblock::new(std::io::stdin());
    let mut buffer = [0; 256];
    while input.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
    Ok(())
}
