//! Orders to engines, and whether they answer.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::OrderAnswer;
use jujuberoad::fleet::PlannedOrder;
use jujuberoad::ids::Fence;

use super::CallError;

/// The control side of engines that form groups.
#[async_trait]
pub trait ReplicaControl: Send + Sync {
    /// Gives an order under `fence`. An engine that has begun another number of
    /// orders than `expected_sequence` refuses it as a conflict.
    async fn order(
        &self,
        order: &PlannedOrder,
        fence: Fence,
        expected_sequence: Option<u64>,
        deadline: Instant,
    ) -> Result<OrderAnswer, CallError>;

    /// Asks an engine for its state.
    async fn probe(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<EngineReport, CallError>;
}
