//! Runs a request to a model: attempts, retries and the response.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use jujuberoad::config::LimitSpec;
use jujuberoad::ids::Milliseconds;
use jujuberoad::ids::TargetId;
use jujuberoad::outcome::Outcome;
use jujuberoad::routing::AttemptHistory;
use jujuberoad::routing::ChoiceHint;
use jujuberoad::routing::ModelName;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::http::read_whole_body;
use serde_json::Value;
use serde_json::json;
use spdlog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::caller_request::CallerRequest;
use crate::caller_request::deadline_after;
use crate::held_slot::HeldSlot;
use crate::problem_reply::OUTCOME_HEADER;
use crate::problem_reply::ProblemReply;
use crate::problem_reply::REQUEST_HEADER;
use crate::router_core::RouterCore;
use crate::slot_demand::SlotDemand;
use crate::target_attempt::AttemptError;
use crate::target_attempt::ErrorReply;
use crate::target_attempt::REFUSED_HEADER;
use crate::target_attempt::acquire_valid_slot;
use crate::target_attempt::decide_retry;
use crate::target_attempt::fail_attempt;
use crate::token_event::TokenEvent;
use crate::token_event::TokenReader;
use crate::token_stream::ResumePoint;
use crate::token_stream::TokenStream;

/// Time limit of the first token, as a multiple of the silence limit.
const FIRST_TOKEN_SILENCE_FACTOR: u64 = 3;
/// Largest response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Number of bytes at the start of a prompt that are hashed as its prefix.
const PREFIX_BYTES: usize = 256;

/// A request to a model.
pub(crate) struct ModelCall {
    pub(crate) core: Arc<RouterCore>,
    pub(crate) request: CallerRequest,
    /// Time without a token after which a stream may be resumed on another target.
    pub(crate) silence_timeout_ms: Milliseconds,
    name: ModelName,
    /// The parsed request body.
    body: Value,
    hint: ChoiceHint,
}

/// A token stream whose first event has been received.
pub(crate) struct OpenStream {
    pub(crate) slot: HeldSlot,
    pub(crate) reader: TokenReader,
    pub(crate) first: TokenEvent,
}

impl ModelCall {
    /// Parses and validates the body of a request to a model.
    pub(crate) fn parse(
        core: Arc<RouterCore>,
        request: CallerRequest,
        limits: &LimitSpec,
    ) -> Result<Arc<Self>, ProblemReply> {
        let reject = |detail: String| ProblemReply::not_run(StatusCode::BAD_REQUEST, detail);
        let body: Value = serde_json::from_slice(&request.body)
            .map_err(|error| reject(format!("the body is not JSON: {error}")))?;
        let model = body.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| reject("key \"model\" is missing".to_owned()))?;
        if !(body["messages"].is_array() || body["prompt"].is_string()) {
            return Err(reject("expected \"messages\" or \"prompt\"".to_owned()));
        }
        let name = ModelName::parse(model);
        let hint = ChoiceHint {
            prefix: prefix_hash(&body),
        };
        let silence_timeout_ms = limits.silence_timeout_ms;
        Ok(Arc::new(Self {
            core,
            request,
            silence_timeout_ms,
            name,
            body,
            hint,
        }))
    }

    /// Returns the requested model.
    pub(crate) fn name(&self) -> &ModelName {
        &self.name
    }

    /// Runs the request and returns its response.
    pub(crate) async fn run(self: Arc<Self>) -> Response<ReplyBody> {
        self.core.scheduler.earn_retry();
        let wants_stream = self.body["stream"] == Value::Bool(true);
        let result = if wants_stream {
            let opened = self.open_stream(None, ResumePoint::default()).await;
            opened.map(|stream| self.stream_response(stream))
        } else {
            self.buffered_response().await
        };
        result.unwrap_or_else(|reply| self.error_response(reply))
    }

    /// Opens a stream that starts at `point`, retrying while the retry budget and the
    /// deadline allow it.
    pub(crate) async fn open_stream(
        self: &Arc<Self>,
        mut avoid: Option<TargetId>,
        point: ResumePoint,
    ) -> Result<OpenStream, ErrorReply> {
        let mut history = AttemptHistory::new(true, self.request.deadline);
        loop {
            let error = match self.attempt_stream(avoid.as_ref(), &point).await {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            let target = decide_retry(&self.core.scheduler, &self.request.id, &mut history, error)?;
            avoid = Some(target);
        }
    }

    async fn buffered_response(self: &Arc<Self>) -> Result<Response<ReplyBody>, ErrorReply> {
        let mut history = AttemptHistory::new(true, self.request.deadline);
        let mut avoid = None;
        loop {
            let error = match self.attempt_buffered(avoid.as_ref()).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let target = decide_retry(&self.core.scheduler, &self.request.id, &mut history, error)?;
            avoid = Some(target);
        }
    }

    async fn attempt_stream(
        &self,
        avoid: Option<&TargetId>,
        point: &ResumePoint,
    ) -> Result<OpenStream, AttemptError> {
        let slot = self.acquire_slot(avoid).await?;
        let body = self.target_body(point, true);
        let first_deadline = self.first_token_deadline();
        let response = self
            .send(&slot, body, avoid.is_some(), first_deadline)
            .await?;
        let mut reader = TokenReader::new(response.into_body(), first_deadline);
        let first = reader.next(first_deadline).await;
        let message = match first {
            TokenEvent::Silent => "timed out waiting for the first token".to_owned(),
            TokenEvent::Lost(message) => message,
            first => {
                return Ok(OpenStream {
                    slot,
                    reader,
                    first,
                });
            }
        };
        Err(fail_attempt(&slot, true, false, message))
    }

    async fn attempt_buffered(
        &self,
        avoid: Option<&TargetId>,
    ) -> Result<Response<ReplyBody>, AttemptError> {
        let slot = self.acquire_slot(avoid).await?;
        let body = self.target_body(&ResumePoint::default(), false);
        let deadline = self.request.deadline;
        let response = self.send(&slot, body, avoid.is_some(), deadline).await?;
        let timer = async {
            smol::Timer::at(self.request.deadline).await;
            Err("the deadline passed before the response was complete".to_owned())
        };
        let read = async {
            let read = read_whole_body(response.into_body(), MAX_RESPONSE_BYTES);
            read.await.map_err(|error| error.to_string())
        };
        let bytes = read
            .or(timer)
            .await
            .map_err(|message| fail_attempt(&slot, true, false, message))?;
        if !self.is_own_response(&bytes) {
            let message = "the response belongs to another request".to_owned();
            return Err(fail_attempt(&slot, true, false, message));
        }
        self.record_success(&slot);
        Ok(self.success_response("application/json", full_body(bytes)))
    }

    async fn acquire_slot(&self, avoid: Option<&TargetId>) -> Result<HeldSlot, AttemptError> {
        let demand = SlotDemand::Model(self.name.clone());
        acquire_valid_slot(
            &self.core.scheduler,
            &self.request,
            &demand,
            self.hint,
            avoid,
        )
        .await
    }

    async fn send(
        &self,
        slot: &HeldSlot,
        body: Bytes,
        new_connection: bool,
        head_deadline: Instant,
    ) -> Result<Response<ReplyBody>, AttemptError> {
        let target = slot.target();
        let request = self.target_request(slot, body);
        let request =
            request.map_err(|error| fail_attempt(slot, false, false, error.to_string()))?;
        let sent = self
            .core
            .data_path
            .send(target.address, request, new_connection, head_deadline)
            .await;
        let response =
            sent.map_err(|error| fail_attempt(slot, error.was_sent, false, error.to_string()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        if let Some(refused) = response.headers().get(REFUSED_HEADER) {
            let message = format!("the target refused the request: {refused:?}");
            return Err(fail_attempt(slot, true, true, message));
        }
        if response.status().is_server_error() {
            let message = format!("the target responded with status {}", response.status());
            return Err(fail_attempt(slot, true, false, message));
        }
        Err(AttemptError::Answered(Box::new(response)))
    }

    fn target_request(
        &self,
        slot: &HeldSlot,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let target = slot.target();
        let remaining = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        Request::builder()
            .method(self.request.method.clone())
            .uri(&self.request.path)
            .header("host", target.address.to_string())
            .header("content-type", "application/json")
            .header(REQUEST_HEADER, self.request.id.as_str())
            .header("jujube-group", target.target.as_str())
            .header("jujube-generation", target.generation)
            .header("jujube-class", self.request.class.to_string())
            .header("jujube-deadline-ms", remaining.as_millis().to_string())
            .body(Full::new(body))
    }

    fn target_body(&self, point: &ResumePoint, stream: bool) -> Bytes {
        if point.next_index == 0 && self.body["stream"] == Value::Bool(stream) {
            return self.request.body.clone();
        }
        let mut body = self.body.clone();
        body["stream"] = Value::Bool(stream);
        if point.next_index > 0 {
            body["jujube_resume"] = json!({ "from": point.next_index, "text": point.text });
        }
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    fn first_token_deadline(&self) -> Instant {
        let limit_ms = FIRST_TOKEN_SILENCE_FACTOR * self.silence_timeout_ms;
        deadline_after(Instant::now(), limit_ms).min(self.request.deadline)
    }

    fn is_own_response(&self, bytes: &[u8]) -> bool {
        let response: Option<Value> = serde_json::from_slice(bytes).ok();
        response.is_some_and(|response| response["id"] == *self.request.id)
    }

    fn stream_response(self: &Arc<Self>, stream: OpenStream) -> Response<ReplyBody> {
        let body = TokenStream::body(Arc::clone(self), stream);
        self.success_response("text/event-stream", body)
    }

    fn success_response(&self, content_type: &str, body: ReplyBody) -> Response<ReplyBody> {
        let response = Response::builder()
            .header("content-type", content_type)
            .header(OUTCOME_HEADER, <&str>::from(Outcome::Answered))
            .header(REQUEST_HEADER, self.request.id.as_str());
        response
            .body(body)
            .unwrap_or_else(|_| Response::new(full_body("")))
    }

    fn record_success(&self, slot: &HeldSlot) {
        let target = &slot.target().target;
        info!(
            "end: request={} target={target} outcome=answered",
            self.request.id
        );
        self.core.metrics.count("requests.answered");
    }

    fn error_response(&self, reply: ErrorReply) -> Response<ReplyBody> {
        let request = &self.request.id;
        let problem = match reply {
            ErrorReply::Answered(mut response) => {
                let outcome = <&str>::from(Outcome::Answered);
                let headers = response.headers_mut();
                headers.insert(
                    OUTCOME_HEADER,
                    hyper::header::HeaderValue::from_static(outcome),
                );
                return *response;
            }
            ErrorReply::Problem(problem) => problem,
        };
        info!(
            "end: request={request} outcome={} reason={:?}",
            problem.outcome, problem.detail
        );
        self.core.metrics.count("requests.failed");
        problem.into_response(request)
    }
}

/// Returns the hash of the start of the prompt, which is equal for requests with the
/// same context.
fn prefix_hash(body: &Value) -> Option<u64> {
    let text = match &body["prompt"] {
        Value::String(prompt) => prompt.clone(),
        _ => body["messages"]
            .get(0)?
            .get("content")?
            .as_str()?
            .to_owned(),
    };
    let end = text.len().min(PREFIX_BYTES);
    Some(xxh3_64(&text.as_bytes()[..end]))
}
