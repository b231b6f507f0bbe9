//! One VM of a group.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::VmId;

/// A VM as it was when the group was formed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of its engine; another one makes the group incomplete.
    pub incarnation: Incarnation,
    /// Where the engine takes requests and orders.
    pub address: SocketAddr,
}
