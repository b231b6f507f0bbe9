//! Cluster membership: the list of routers, the assignment of homes, and
//! whether a router's view of the stored records is recent enough to act on.

mod confirmed_version;
mod digest_kind;
mod home_table;
mod hub_step;
mod hub_table;
mod lease_term;
mod loads_use;
mod outage_tally;
mod relay_plan;
mod router_entry;
mod router_list;
mod version_tracker;
mod version_vector;
mod view_guard;
mod view_key;

pub use confirmed_version::ConfirmedVersion;
pub use digest_kind::DigestKind;
pub use home_table::HomeTable;
pub(crate) use home_table::rendezvous_score;
pub use hub_step::HubStep;
pub use hub_table::HUB_SILENCE;
pub use hub_table::HubTable;
pub use hub_table::MEMBER_INTERVAL;
pub use lease_term::LeaseTerm;
pub use loads_use::LoadsUse;
pub use outage_tally::OutageTally;
pub use outage_tally::PeerVote;
pub use outage_tally::VOTE_VALID_MS;
pub use relay_plan::RelayPlan;
pub use router_entry::RouterEntry;
pub use router_list::RouterList;
pub use version_tracker::NOTE_VALID_MS;
pub use version_tracker::VersionTracker;
pub use version_vector::VersionVector;
pub use view_guard::ViewGuard;
pub use view_key::ViewKey;

use crate::ids::Milliseconds;

/// Time after its last confirmation for which a view may be acted on.
pub const VIEW_VALID_MS: Milliseconds = 3_000;
/// Time to live of a router's lease.
pub const ROUTER_LEASE_MS: Milliseconds = 10_000;
/// Time between two renewals of a router's lease.
pub const ROUTER_RENEW_MS: Milliseconds = 4_000;
