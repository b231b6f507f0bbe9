//! An order and whom it goes to.

use std::net::SocketAddr;

use super::ReplicaOrder;
use crate::ids::EndpointId;

/// An order that the planner wants to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// The order.
    pub order: ReplicaOrder,
    /// Orders that the engine must have begun before; it refuses any other state.
    pub expected_sequence: Option<u64>,
    /// Why it is sent, for the log.
    pub reason: &'static str,
}
