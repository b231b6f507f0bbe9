//! Distributed concurrency limits: how many requests each router may have in
//! progress on a target.
//!
//! The home router of a target owns its concurrency limit and leases slots to
//! the routers that request them. Both sides of a lease expire by a local
//! deadline, and the home's deadline is never earlier than the router's. The
//! slots that routers hold therefore never exceed the limit in total, even when
//! messages are lost or processes freeze.

mod slot_grant;
mod slot_holder;
mod slot_home;
mod slot_lease;
mod slot_permit;
mod slot_refusal;
mod slot_request;
mod target_state;

pub use slot_grant::SlotGrant;
pub use slot_home::SlotHome;
pub use slot_lease::SlotLease;
pub use slot_permit::SlotPermit;
pub use slot_refusal::SlotRefusal;
pub use slot_request::SlotRequest;
pub use target_state::TargetState;

use crate::ids::Milliseconds;
use crate::membership::VIEW_VALID_MS;

/// Duration of a slot lease.
pub const SLOT_LEASE_MS: Milliseconds = 1_000;
/// Interval at which a router renews the slots that it holds.
pub const SLOT_RENEW_MS: Milliseconds = 250;
/// Time for which a new home grants no slots on a cold target. The previous home
/// may act on its old view until `VIEW_VALID_MS` has passed, and its last grants
/// then run for another `SLOT_LEASE_MS`.
pub const HOME_TAKEOVER_MS: Milliseconds = VIEW_VALID_MS + SLOT_LEASE_MS;
/// Time after which a router yields its slot to routers without one, when there
/// are fewer slots than routers.
pub const SLOT_ROTATION_MS: Milliseconds = 500;
