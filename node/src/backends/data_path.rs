//! The data side of engines and plain endpoints.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

use super::CallError;
use crate::http::ReplyBody;

/// Carries requests to targets and their answers back.
#[async_trait]
pub trait DataPath: Send + Sync {
    /// Sends `request` and returns the head of the answer by `head_deadline`.
    ///
    /// A `new_connection` call opens a new connection. Dropping the body before its end
    /// closes the connection, by which the target learns that nobody waits.
    async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<Response<ReplyBody>, CallError>;
}
