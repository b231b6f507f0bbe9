//! The placement daemon of jujuberoad.
//!
//! In each availability zone one placer is active. It forms groups of VMs,
//! replaces lost members, sends orders to engines, and drains groups and VMs
//! that must leave service. A decision takes effect through a single
//! compare-and-swap on the zone's placement record.

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
