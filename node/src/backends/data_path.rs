//! Trait for forwarding requests to engines and plain endpoints.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

use super::CallError;
use crate::http::ReplyBody;

/// Sends requests to targets and returns their responses.
#[async_trait]
pub trait DataPath: Send + Sync {
    /// Sends `request` and returns the response once its head has arrived, which must
    /// happen by `head_deadline`.
    ///
    /// With `new_connection`, no idle connection is reused. Dropping the response body
    /// before its end closes the connection, which tells the target that the caller is
    /// gone.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<Response<ReplyBody>, CallError>;
}
