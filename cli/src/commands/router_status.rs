//! State of a router, as `jujube status` shows it.

use jujuberoad::ids::Revision;
use serde::Serialize;

use super::status::HomeState;

/// State of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouterStatus {
    /// Name of the router.
    pub router: String,
    /// Availability zone of the router.
    pub zone: String,
    /// Revision in force at the router; `None` if it did not answer.
    pub revision: Option<Revision>,
    /// Whether the router's view is recent enough to accept new requests.
    pub is_fresh: bool,
    #[serde(skip)]
    pub(super) homes: Vec<HomeState>,
}
