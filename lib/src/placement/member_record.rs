//! Entry of the placement record for one VM of a group.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::VmId;

/// A VM as it was when the members of the group last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of its engine; after an engine restart the group is incomplete.
    pub incarnation: Incarnation,
    /// Address at which the engine accepts requests and orders.
    pub address: SocketAddr,
}
