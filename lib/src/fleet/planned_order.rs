//! An order and the engine that it is for.

use std::net::SocketAddr;

use super::EngineReport;
use super::GroupKey;
use super::ReplicaOrder;
use crate::ids::EndpointId;

/// An order that is due to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Engine that receives it.
    pub endpoint: EndpointId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Order to send.
    pub order: ReplicaOrder,
    /// Reason, for the log.
    pub reason: &'static str,
    /// Last group that the engine was ordered to leave; its report may still show it.
    pub left_group: Option<GroupKey>,
}

impl PlannedOrder {
    /// Returns whether the state of the engine must be polled before the order is sent.
    ///
    /// A join replaces any group that the engine is in, and the registry lags, so a join
    /// must not rely on the registry alone.
    pub fn needs_report(&self) -> bool {
        matches!(self.order, ReplicaOrder::Join { .. })
    }

    /// Returns the order count that the engine must have to execute this order, or `None`
    /// if the order conflicts with the reported state.
    ///
    /// A report is a few hundred milliseconds old. If it still shows the group that the
    /// engine was ordered to leave, it predates that order, which adds one to the count.
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
