//! An order and whom it goes to.

use std::net::SocketAddr;

use super::EngineReport;
use super::GroupKey;
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
    /// Group that the engine has left by an order, which its report may still show.
    pub left_group: Option<GroupKey>,
}

impl PlannedOrder {
    /// Tells whether the engine must be asked for its state before the order is sent.
    ///
    /// A join replaces whatever group an engine is in, so it must not rest on the
    /// registry alone, which lags.
    pub fn needs_report(&self) -> bool {
        matches!(self.order, ReplicaOrder::Join { .. })
    }

    /// Returns the count of orders that the engine must have for this one to be
    /// carried out; nothing where the order does not fit what the engine reports.
    ///
    /// A report is some hundred milliseconds old. One that still shows the group which
    /// the engine has left by our order is from before that order, which counts as one.
    pub fn expected_sequence(&self, report: &EngineReport) -> Option<u64> {
        let ReplicaOrder::Join { key, .. } = &self.order else {
            return Some(report.sequence);
        };
        match &report.membership {
            Some(joined) if joined.key == *key => Some(report.sequence),
            Some(joined) if self.left_group.as_ref() == Some(&joined.key) => {
                Some(report.sequence + 1)
            }
            Some(_) => None,
            None => Some(report.sequence),
        }
    }
}
