//! An order and whom it goes to.

use std::net::SocketAddr;

use super::EngineReport;
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
    /// Why it is sent, for the log.
    pub reason: &'static str,
}

impl PlannedOrder {
    /// Tells whether the engine must be asked for its state before the order is sent.
    ///
    /// A join replaces whatever group an engine is in, so it must not rest on the
    /// registry alone, which lags.
    pub fn needs_report(&self) -> bool {
        matches!(self.order, ReplicaOrder::Join { .. })
    }

    /// Tells whether the order fits what the engine reports of itself.
    pub fn fits(&self, report: &EngineReport) -> bool {
        let ReplicaOrder::Join { key, .. } = &self.order else {
            return true;
        };
        let joined = report.membership.as_ref();
        joined.is_none_or(|joined| joined.key == *key)
    }
}
