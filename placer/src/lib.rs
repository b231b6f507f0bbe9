//! The placement daemon of jujuberoad.
//!
//! For each availability zone one placer is active. It forms groups out of
//! VMs, replaces lost members, gives engines their orders and empties what
//! has to leave. What it decides is one compare-and-swap on the zone's record.

mod placer_core;
mod placer_daemon;
mod reports_poll;
mod router_expiry;
mod zone_error;
mod zone_lease;
mod zone_orders;
mod zone_placer;
mod zone_reader;

pub use placer_daemon::PlacerDaemon;
