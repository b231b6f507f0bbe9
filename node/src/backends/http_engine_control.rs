//! HTTP implementation of [`EngineControl`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use jujuberoad::health::MemberReport;
use jujuberoad::placement::EngineOrder;

use super::CallError;
use super::CallStep;
use super::EngineControl;
use crate::http::HttpPool;

/// Fetches reports and sends orders as JSON.
pub struct HttpEngineControl {
    pool: Arc<HttpPool>,
}

impl HttpEngineControl {
    /// Creates a client that uses the connections of `pool`.
    pub fn new(pool: Arc<HttpPool>) -> Self {
        Self { pool }
    }
}

#[async_trait]
impl EngineControl for HttpEngineControl {
    async fn report(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<MemberReport, CallError> {
        let path = "/control/report";
        let reply = self
            .pool
            .exchange(address, Method::GET, path, Bytes::new(), deadline)
            .await?;
        reply.decode_json()
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        deadline: Instant,
    ) -> Result<(), CallError> {
        let body = serde_json::to_vec(order)
            .map_err(|error| CallError::unsent(CallStep::Send, address, error))?;
        let path = "/control/order";
        let reply = self
            .pool
            .exchange(address, Method::POST, path, body.into(), deadline)
            .await?;
        if reply.status.is_success() {
            return Ok(());
        }
        let message = format!("the engine refused the order with status {}", reply.status);
        Err(CallError::sent(CallStep::Decode, address, message))
    }
}
