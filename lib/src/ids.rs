//! Type aliases for the identifiers that cross module borders.

use smol_str::SmolStr;

/// Name of an availability zone, as in `[zone NAME]`.
pub type ZoneId = SmolStr;
/// Name of a fabric domain, as in `[domain NAME]`.
pub type DomainId = SmolStr;
/// Name of a VM that carries a model engine, as in `[vm NAME]`.
pub type VmId = SmolStr;
/// Name of a model, as in `[model NAME]`.
pub type ModelId = SmolStr;
/// Name of a plain service, as in `[service NAME]`.
pub type ServiceId = SmolStr;
/// Name of one endpoint of a plain service, as in `[endpoint NAME]`.
pub type EndpointId = SmolStr;
/// Name of a team, as in `[team NAME]`.
pub type TeamId = SmolStr;
/// Name of a router process.
pub type RouterId = SmolStr;
/// Name of a group of VMs that together hold one model replica.
pub type GroupId = SmolStr;
/// Name of anything that takes requests: a group or a plain endpoint.
pub type TargetId = SmolStr;
/// Counter that grows each time the members of a group change.
pub type Generation = u64;
/// Number drawn by an engine each time it starts.
pub type Incarnation = u64;
/// Fencing number of an order or a record writer.
pub type Fence = u64;
/// Version that the platform's store gives to a value; grows with each write.
pub type StoreVersion = u64;
/// Revision of the configuration; grows with each accepted change.
pub type Revision = u64;
/// Counter that grows each time the agreed list of routers changes.
pub type Epoch = u64;
/// Random number by which a writer recognises its own write.
pub type Nonce = u64;
/// Span of time in milliseconds, as settings state it.
pub type Milliseconds = u64;
