//! State of a router, as `jujube status` shows it.

use jujuberoad::ids::Revision;
use serde::Serialize;

use super::status::HomeState;

/// State of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouterStatus {
    /// Name of the router.
    pub router: String,
    /// Availability zone in which it stands.
    pub zone: String,
    /// Revision in force there; nothing when it does not answer.
    pub revision: Option<Revision>,
    /// Whether its view is recent enough to take new work.
    pub is_fresh: bool,
    #[serde(skip)]
    pub(super) homes: Vec<HomeState>,
}
