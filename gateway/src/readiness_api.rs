//! Readiness check for the platform's load balancer.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;

use crate::gateway_core::GatewayCore;

/// Answers 200 while the router accepts callers and 503 otherwise, on any path.
pub(crate) struct ReadinessApi {
    core: Arc<GatewayCore>,
}

impl ReadinessApi {
    pub(crate) fn new(core: Arc<GatewayCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }
}

#[async_trait]
impl HttpHandler for ReadinessApi {
    async fn handle(&self, _request: Request<Incoming>) -> Response<ReplyBody> {
        let view = self.core.fleet.view();
        let (status, text) = if self.core.is_stopping() {
            (StatusCode::SERVICE_UNAVAILABLE, "stopping\n")
        } else if view.config.is_none() {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n")
        } else if view.registry_confirmed_at.is_none() {
            (StatusCode::SERVICE_UNAVAILABLE, "no registry yet\n")
        } else {
            (StatusCode::OK, "ready\n")
        };
        let mut response = Response::new(full_body(text));
        *response.status_mut() = status;
        response
    }
}
