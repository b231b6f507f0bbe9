//! Trait for the control interface of engines and plain endpoints.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use jujuberoad::health::MemberReport;
use jujuberoad::placement::EngineOrder;

use super::CallError;

/// Fetches load reports from engines and sends them orders.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Fetches the report of an engine.
    async fn report(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<MemberReport, CallError>;

    /// Sends an order to an engine. An order that the engine refuses, for example
    /// because of an outdated fence, is an error of step [`CallStep::Decode`].
    ///
    /// [`CallStep::Decode`]: super::CallStep::Decode
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        deadline: Instant,
    ) -> Result<(), CallError>;
}
