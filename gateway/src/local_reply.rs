//! Replies that the gateway generates itself.

use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use jujuberoad::admission::overload::WaitEstimate;
use jujuberoad::outcome::Outcome;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use serde_json::json;
use smol_str::SmolStr;

use crate::gateway_core::GatewayCore;
use crate::relay_call::RELAY_HEADER;
use crate::relay_call::RELAY_UNABLE;

/// A reply to a request that no endpoint answered, and the reason.
#[derive(Clone, Debug)]
pub(crate) struct LocalReply {
    pub(crate) status: StatusCode,
    pub(crate) outcome: Outcome,
    /// The failed step, with the peer's address if there is one.
    pub(crate) reason: String,
    /// When the caller may retry.
    pub(crate) retry_at: Option<Instant>,
    /// The wait for which the request was refused, if that was the reason.
    pub(crate) expected_wait: Option<WaitEstimate>,
    /// Whether another router may be able to serve the request.
    is_for_other_router: bool,
}

impl LocalReply {
    /// Creates a reply to a request that has not been executed and will not be.
    pub(crate) fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.into(),
            retry_at: None,
            expected_wait: None,
            is_for_other_router: false,
        }
    }

    /// Creates a reply to a request that may have been executed.
    pub(crate) fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            reason: reason.into(),
            retry_at: None,
            expected_wait: None,
            is_for_other_router: false,
        }
    }

    /// Asks the caller to retry at `retry_at`.
    pub(crate) fn with_retry_at(mut self, retry_at: Instant) -> Self {
        self.retry_at = Some(retry_at);
        self
    }

    /// Tells a router that relayed the request to ask another one.
    pub(crate) fn for_other_router(mut self) -> Self {
        self.is_for_other_router = true;
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
        if self.is_for_other_router {
            headers.insert(RELAY_HEADER, HeaderValue::from_static(RELAY_UNABLE));
        }
        core.backends.dialect.set_request_id(headers, request);
        response
    }
}
