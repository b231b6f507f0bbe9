//! A complete fleet on one machine: stand-ins in this process, daemons as child processes.

mod fleet_error;
mod fleet_processes;
mod fleet_standins;
mod lab_fleet;
mod port_probe;

pub use fleet_error::FleetError;
pub use fleet_processes::FleetProcesses;
pub use fleet_processes::NodeAddresses;
pub use fleet_standins::FleetStandins;
pub use lab_fleet::LabFleet;
pub use port_probe::PortProbe;
