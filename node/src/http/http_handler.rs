//! Trait for handlers of HTTP requests.

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::ReplyBody;

/// Handles the requests that an HTTP server receives.
#[async_trait]
pub trait HttpHandler: Send + Sync {
    /// Handles one request and returns its response.
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody>;
}
