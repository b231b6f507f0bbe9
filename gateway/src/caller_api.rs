//! Takes requests of callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad::fleet::PoolKey;
use jujuberoad::serving::RouteKind;
use jujuberoad::serving::ServingConfig;
use jujuberoad_node::backends::CallerHead;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::http::remove_connection_headers;
use jujuberoad_node::runtime;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol_str::SmolStr;

use crate::call_deadline::by_deadline;
use crate::caller_request;
use crate::caller_request::CallerRequest;
use crate::gateway_core::GatewayCore;
use crate::own_answer::OwnAnswer;
use crate::plain_call::PlainCall;
use crate::stream_call::StreamCall;

/// Bytes of a header line beside name and value: colon, space and line end.
const HEADER_EXTRA_BYTES: usize = 4;
/// Wait that is assumed for callers that do not say how long they wait.
const USUAL_PATIENCE_MS: u64 = 30_000;

/// Answers callers.
pub(crate) struct CallerApi {
    core: Arc<GatewayCore>,
}

impl CallerApi {
    pub(crate) fn new(core: Arc<GatewayCore>) -> Arc<Self> {
        Arc::new(Self { core })
    }

    async fn admit(
        &self,
        request: Request<Incoming>,
        head: CallerHead,
        id: SmolStr,
    ) -> Result<CallerRequest, OwnAnswer> {
        let received_at = Instant::now();
        let view = self.core.board.view();
        let Some(config) = view.config else {
            let reason = "this router has no configuration yet";
            let answer = OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            let patience_ms = head.patience_ms.unwrap_or(USUAL_PATIENCE_MS);
            let patience = Duration::from_millis(patience_ms);
            return Err(answer.with_retry_at(caller_request::return_after_start(patience)));
        };
        refuse_long_head(&request, &config)?;
        let path = request.uri().path().to_owned();
        let host = host_of(&request);
        let (route, team, priority) = caller_request::admit(&config, &head, &host, &path)
            .map_err(|refusal| refusal.answer)?;
        let service = route.pick_service(fastrand::f64());
        let Some(service) = service.map(|share| share.service.clone()) else {
            let reason = format!("route {:?} has no service with a weight", route.name);
            return Err(OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, reason));
        };
        let patience_ms = head.patience_ms.unwrap_or(USUAL_PATIENCE_MS);
        let limit_ms = patience_ms.min(route.timeout_ms.max(1));
        let deadline = received_at + Duration::from_millis(limit_ms);
        let age_before_ms = match head.patience_ms {
            Some(patience) => {
                let mut returns = self.core.returns.lock().expect("return lock");
                returns.observe(&route.name, patience)
            }
            None => 0,
        };
        let (mut parts, body) = request.into_parts();
        let body = read_body(body, &config, deadline).await?;
        remove_connection_headers(&mut parts.headers);
        let has_groups = config
            .services
            .get(&service)
            .is_some_and(|profile| profile.engine.is_some());
        let model = head.model.clone().filter(|_| has_groups);
        Ok(CallerRequest {
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            head,
            route,
            team,
            priority,
            pool: PoolKey { service, model },
            config_version: config.version,
            received_at,
            age_before_ms,
            deadline,
        })
    }

    async fn serve(&self, request: CallerRequest) -> Response<ReplyBody> {
        let core = Arc::clone(&self.core);
        let now = Instant::now();
        core.allowance
            .lock()
            .expect("allowance lock")
            .observe_request(now);
        core.has_traffic.store(true, Ordering::Relaxed);
        match request.route.kind {
            RouteKind::Streaming => StreamCall::new(core, request).run().await,
            RouteKind::Idempotent => PlainCall::new(core, request).run().await,
            // What must not run twice is finished even when its caller leaves.
            RouteKind::NonIdempotent => run_to_end(PlainCall::new(core, request).run()).await,
        }
    }
}

#[async_trait]
impl HttpHandler for CallerApi {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let head = self.core.parts.dialect.read_caller(request.headers());
        let id = head.request.clone().unwrap_or_else(new_request_id);
        let route = SmolStr::from(request.uri().path());
        let mut response = match self.admit(request, head, id.clone()).await {
            Ok(request) => self.serve(request).await,
            Err(answer) => {
                self.core.metrics.refusals.inc();
                self.core.log.write(
                    LogKind::Refused,
                    json!({
                        "request": id,
                        "path": route,
                        "status": answer.status.as_u16(),
                        "outcome": answer.outcome.to_string(),
                        "reason": answer.reason,
                        "at": "door",
                    }),
                );
                answer.into_response(&self.core, &id)
            }
        };
        if self.core.is_stopping() {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }
}

/// Refuses a head that is longer than the operator allows.
fn refuse_long_head(request: &Request<Incoming>, config: &ServingConfig) -> Result<(), OwnAnswer> {
    let limit = config.limits.head_bytes;
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES)
        .sum();
    if bytes <= limit {
        return Ok(());
    }
    let reason = format!("the head is longer than {limit} bytes");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(OwnAnswer::not_run(status, reason))
}

fn host_of(request: &Request<Incoming>) -> String {
    if let Some(host) = request.uri().host() {
        return host.to_owned();
    }
    let host = request.headers().get("host");
    let host = host.and_then(|host| host.to_str().ok());
    host.unwrap_or_default().to_owned()
}

fn new_request_id() -> SmolStr {
    format!("{:016x}", fastrand::u64(..)).into()
}

async fn read_body(
    body: Incoming,
    config: &ServingConfig,
    deadline: Instant,
) -> Result<Bytes, OwnAnswer> {
    let limit = usize::try_from(config.limits.body_bytes).unwrap_or(usize::MAX);
    let read = Limited::new(body, limit).collect();
    match by_deadline(deadline, read).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => {
            let reason = format!("the body is longer than {limit} bytes");
            Err(OwnAnswer::not_run(StatusCode::PAYLOAD_TOO_LARGE, reason))
        }
        Some(Err(error)) => {
            let reason = format!("the body could not be read: {error}");
            Err(OwnAnswer::not_run(StatusCode::BAD_REQUEST, reason))
        }
        None => {
            let reason = "the body did not arrive in time";
            Err(OwnAnswer::not_run(StatusCode::REQUEST_TIMEOUT, reason))
        }
    }
}

/// Runs `call` to its end even when the caller leaves before.
async fn run_to_end(
    call: impl Future<Output = Response<ReplyBody>> + Send + 'static,
) -> Response<ReplyBody> {
    let (sender, receiver) = smol::channel::bounded(1);
    runtime::spawn(async move {
        // The receiver is gone when the caller has left.
        let _ = sender.send(call.await).await;
    });
    let answer = receiver.recv().await;
    answer.unwrap_or_else(|_| Response::new(full_body("")))
}
