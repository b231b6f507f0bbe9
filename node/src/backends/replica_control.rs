//! Trait for sending orders to engines and probing them.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::fleet::EngineReport;
use jujuberoad::fleet::OrderAnswer;
use jujuberoad::fleet::PlannedOrder;
use jujuberoad::ids::Fence;

use super::CallError;

/// The control interface of engines that form groups.
#[async_trait]
pub trait ReplicaControl: Send + Sync {
    /// Sends an order under `fence`. An engine refuses it as a conflict if the number of
    /// orders it has begun differs from `expected_sequence`.
    async fn order(
        &self,
        order: &PlannedOrder,
        fence: Fence,
        expected_sequence: Option<u64>,
        deadline: Instant,
    ) -> Result<OrderAnswer, CallError>;

    /// Fetches the state of an engine.
    async fn probe(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<EngineReport, CallError>;
}
