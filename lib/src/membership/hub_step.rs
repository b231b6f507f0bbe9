//! Changes of a router's hub.

use crate::ids::RouterId;

/// What has changed since the last step, and what a router has to send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HubStep {
    /// Hub that this router has given up.
    pub lost: Option<RouterId>,
    /// Hub that this router leaves for another one, though it works.
    pub left: Option<RouterId>,
    /// Hub that this router has chosen.
    pub chosen: Option<RouterId>,
    /// Whether to send `HubQuery` to all peers.
    pub queries: bool,
    /// Whether to send `HubInfo` to all peers.
    pub announces: bool,
}
