//! Error responses as problem details (RFC 9457).

use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use jujuberoad::outcome::Outcome;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use serde::Serialize;
use smol_str::SmolStr;

/// Response header with the outcome of a request.
pub(crate) const OUTCOME_HEADER: &str = "jujube-outcome";
/// Header with the id of a request.
pub(crate) const REQUEST_HEADER: &str = "jujube-request-id";

/// An error response that the router itself generates.
#[derive(Clone, Debug)]
pub(crate) struct ProblemReply {
    pub(crate) status: StatusCode,
    /// Whether the request may have run.
    pub(crate) outcome: Outcome,
    /// Description of the error for the caller's operator.
    pub(crate) detail: String,
    /// Earliest time for a retry, if a retry is useful.
    pub(crate) retry_at: Option<Instant>,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    request_id: &'a str,
}

impl ProblemReply {
    /// Returns an error for a request that did not run.
    pub(crate) fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_at: None,
        }
    }

    /// Asks the caller to retry no earlier than `retry_at`.
    pub(crate) fn with_retry_at(mut self, retry_at: Instant) -> Self {
        self.retry_at = Some(retry_at);
        self
    }

    /// Returns the problem details of `request` as JSON.
    pub(crate) fn to_json(&self, request: &SmolStr) -> Vec<u8> {
        let body = ProblemBody {
            r#type: "about:blank",
            title: self.status.canonical_reason().unwrap_or("error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            request_id: request,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Returns the HTTP response to `request`.
    pub(crate) fn into_response(self, request: &SmolStr) -> Response<ReplyBody> {
        let mut response = Response::builder()
            .status(self.status)
            .header("content-type", "application/problem+json")
            .header(OUTCOME_HEADER, <&str>::from(self.outcome))
            .header(REQUEST_HEADER, request.as_str());
        if let Some(retry_at) = self.retry_at {
            let wait = retry_at.saturating_duration_since(Instant::now());
            let seconds = wait.as_millis().div_ceil(1_000).max(1);
            response = response.header("retry-after", seconds.to_string());
        }
        let body = full_body(self.to_json(request));
        response
            .body(body)
            .unwrap_or_else(|_| Response::new(full_body("")))
    }
}
