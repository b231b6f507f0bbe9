//! Type aliases for identifiers that are shared between modules.

use smol_str::SmolStr;

/// Name of an availability zone, as in `[zone NAME]`.
pub type ZoneId = SmolStr;
/// Name of a fabric domain, as in `[domain NAME]`.
pub type DomainId = SmolStr;
/// Name of a VM that runs a model engine, as in `[vm NAME]`.
pub type VmId = SmolStr;
/// Name of a model, as in `[model NAME]`.
pub type ModelId = SmolStr;
/// Name of a plain service, as in `[service NAME]`.
pub type ServiceId = SmolStr;
/// Name of one endpoint of a plain service, as in `[endpoint NAME]`.
pub type EndpointId = SmolStr;
/// Identifies a part of a prompt that several requests share.
pub type PromptPartId = SmolStr;
/// Identifies requests with the same target, caller and body.
pub type Fingerprint = SmolStr;
/// Name of a team, as in `[team NAME]`.
pub type TeamId = SmolStr;
/// Name of a router process.
pub type RouterId = SmolStr;
/// Name of a group of VMs that together hold one model replica.
pub type GroupId = SmolStr;
/// Name of a target of requests: a group or the endpoint of a plain service.
pub type TargetId = SmolStr;
/// Number of one run of a request at an endpoint, counted by each router.
pub type RunNumber = u64;
/// Counter that is incremented whenever the members of a group change.
pub type Generation = u64;
/// Random number that identifies one run of a process.
pub type Incarnation = u64;
/// Fencing token of an order or of the writer of a record.
pub type Fence = u64;
/// Version that the platform's store assigns to a value; increases with each write.
pub type StoreVersion = u64;
/// Revision of the configuration; incremented by each accepted edit.
pub type Revision = u64;
/// Counter that is incremented whenever the agreed list of routers changes.
pub type Epoch = u64;
/// Random number by which a writer recognizes its own write.
pub type Nonce = u64;
/// Rate in requests per 1,000 seconds.
pub type RequestRate = u64;
/// Duration in milliseconds.
pub type Milliseconds = u64;
/// Number of a request or answer body within a process.
pub type BodyId = u64;
/// Number of a caller's connection within a process.
pub type ConnectionId = u64;
