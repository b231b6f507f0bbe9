//! Replies that the gateway generates itself.

use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use jujuberoad::outcome::Outcome;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use serde_json::json;
use smol_str::SmolStr;

use crate::gateway_core::GatewayCore;

/// A reply to a request that no endpoint answered, and the reason.
#[derive(Clone, Debug)]
pub(crate) struct LocalReply {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    /// The failed step, with the peer's address if there is one.
    pub(crate) reason: String,
    /// When the caller may retry.
    pub(crate) retry_at: Option<Instant>,
}

impl LocalReply {
    /// Creates a reply to a request that has not been executed and will not be.
    pub(crate) fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry_at: None,
        }
    }

    /// Creates a reply to a request that may have been executed.
    pub(crate) fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason: reason.into(),
            retry_at: None,
        }
    }

    /// Asks the caller to retry at `retry_at`.
    pub(crate) fn with_retry_at(mut self, retry_at: Instant) -> Self {
        self.retry_at = Some(retry_at);
        self
    }

    /// Returns the HTTP response to `request`.
    pub(crate) fn into_response(
        self,
        core: &GatewayCore,
        request: &SmolStr,
    ) -> Response<ReplyBody> {
        let body = json!({
            "error": self.reason,
            "outcome": self.outcome.to_string(),
            "request": request,
        });
        let mut response = Response::new(full_body(body.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        if let Some(retry_at) = self.retry_at {
            let wait = retry_at.saturating_duration_since(Instant::now());
            let seconds = format!("{:.2}", wait.as_secs_f64().max(0.05));
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert("retry-after", value);
            }
        }
        core.backends.dialect.set_request_id(headers, request);
        response
    }
}
