//! The border between the HTTP server and what answers its requests.

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::ReplyBody;

/// Answers requests.
#[async_trait]
pub trait HttpHandler: Send + Sync {
    /// Returns the answer to one request.
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody>;
}
