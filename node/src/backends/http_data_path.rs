//! HTTP implementation of [`DataPath`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

use super::CallError;
use super::DataPath;
use crate::http::HttpPool;
use crate::http::ReplyBody;

/// Sends requests to targets over pooled connections.
pub struct HttpDataPath {
    pool: Arc<HttpPool>,
}

impl HttpDataPath {
    /// Creates a data path that uses the connections of `pool`.
    pub fn new(pool: Arc<HttpPool>) -> Self {
        Self { pool }
    }
}

#[async_trait]
impl DataPath for HttpDataPath {
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<Response<ReplyBody>, CallError> {
        let response = self
            .pool
            .send(address, request, new_connection, head_deadline)
            .await?;
        Ok(response.map(|body| body.boxed_unsync()))
    }
}
