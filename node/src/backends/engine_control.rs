//! The control side of engines and plain endpoints.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::health::MemberReport;
use jujuberoad::placement::EngineOrder;

use super::CallError;

/// Load reports and orders.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Asks an engine for its report.
    async fn report(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<MemberReport, CallError>;

    /// Gives an engine an order. An engine that checks fences answers with an
    /// error of step `decode` when it refuses the order.
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        deadline: Instant,
    ) -> Result<(), CallError>;
}
