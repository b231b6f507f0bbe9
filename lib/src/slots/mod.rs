//! Slots: how many requests each router may have in progress on a target.
//!
//! The home router of a target owns its limit and leases parts of it to the
//! routers that ask. A lease ends by a deadline at both ends, the home's never
//! before the router's, so the sum of what routers may start never exceeds the
//! limit even when messages are lost or processes freeze.

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

/// Time for which slots are leased to a router.
pub const SLOT_LEASE_MS: Milliseconds = 1_000;
/// Time between two requests of a router that holds slots.
pub const SLOT_RENEW_MS: Milliseconds = 250;
/// Time for which a new home grants nothing on a cold target: the old home may
/// act on its view and its grants may last that long.
pub const HOME_TAKEOVER_MS: Milliseconds = VIEW_VALID_MS + SLOT_LEASE_MS;
/// Time after which a router passes its slots on while others have none.
pub const SLOT_ROTATION_MS: Milliseconds = 500;
