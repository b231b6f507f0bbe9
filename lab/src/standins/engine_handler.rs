//! HTTP interface of a stand-in VM: reports, orders and completion requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use jujuberoad::health::EnginePhase;
use jujuberoad::placement::EngineOrder;
use jujuberoad_node::http::BodyError;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::runtime;
use serde_json::Value;
use serde_json::json;
use smol::channel;
use smol::channel::Sender;

use super::EngineRegistry;
use super::EngineState;
use super::http_utils::json_response;
use super::http_utils::read_body;
use super::http_utils::text_response;
use super::token_text;

/// Length of a completion whose request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Interval at which a request checks whether its VM responds again.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves the requests of one VM.
pub struct EngineHandler {
    engine: Arc<Mutex<EngineState>>,
    registry: Arc<EngineRegistry>,
    slots: u64,
}

/// A completion request in progress.
struct CompletionTask {
    engine: Arc<Mutex<EngineState>>,
    registry: Arc<EngineRegistry>,
    slots: u64,
    vm: String,
    request_id: String,
    prompt: String,
    start_index: u64,
    max_tokens: u64,
}

impl EngineHandler {
    /// Serves requests with `engine`; `slots` is the number of concurrent requests at
    /// which the time per token has doubled.
    pub fn new(
        engine: Arc<Mutex<EngineState>>,
        registry: Arc<EngineRegistry>,
        slots: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            engine,
            registry,
            slots,
        })
    }

    fn start_task(
        &self,
        headers: &HeaderMap,
        body: &Value,
    ) -> Result<CompletionTask, Box<Response<ReplyBody>>> {
        let now = Instant::now();
        let mut engine = self.engine.lock().expect("engine lock");
        if let Some(refused) = refusal(&engine, headers, now) {
            engine.counts.refused += 1;
            return Err(Box::new(refused));
        }
        engine.begin_request(now);
        let vm = engine.vm.to_string();
        drop(engine);
        let number_or = |value: &Value, default: u64| value.as_u64().unwrap_or(default);
        Ok(CompletionTask {
            engine: Arc::clone(&self.engine),
            registry: Arc::clone(&self.registry),
            slots: self.slots,
            vm,
            request_id: header(headers, "jujube-request-id").to_owned(),
            prompt: prompt_of(body),
            start_index: number_or(&body["jujube_resume"]["from"], 0),
            max_tokens: number_or(&body["max_tokens"], DEFAULT_MAX_TOKENS),
        })
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let task = match self.start_task(&head.headers, &body) {
            Ok(task) => task,
            Err(refused) => return *refused,
        };
        let wants_stream = body["stream"] == Value::Bool(true);
        let (sender, receiver) = channel::bounded::<Result<Bytes, BodyError>>(4);
        let endless_bytes = self.engine.lock().expect("engine lock").endless_bytes;
        if wants_stream || endless_bytes > 0 {
            if endless_bytes > 0 {
                runtime::spawn(task.stream_without_end(sender, endless_bytes));
            } else {
                runtime::spawn(task.stream(sender));
            }
            let frames = futures_lite::StreamExt::map(receiver, |item| item.map(Frame::data));
            return Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        }
        let answer = task.full_response().await;
        answer.unwrap_or_else(|| text_response(StatusCode::INTERNAL_SERVER_ERROR, "group broke"))
    }
}

#[async_trait]
impl HttpHandler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        while is_unresponsive(&self.engine) {
            smol::Timer::after(FREEZE_POLL_INTERVAL).await;
        }
        match request.uri().path() {
            "/control/report" => {
                let report = self
                    .engine
                    .lock()
                    .expect("engine lock")
                    .report(Instant::now());
                json_response(&report)
            }
            "/control/order" => {
                let body = read_body(request.into_body()).await;
                let Ok(order) = serde_json::from_slice::<EngineOrder>(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "");
                };
                let mut engine = self.engine.lock().expect("engine lock");
                let is_accepted = engine.apply_order(order, Instant::now());
                text_response(
                    if is_accepted {
                        StatusCode::OK
                    } else {
                        StatusCode::CONFLICT
                    },
                    "",
                )
            }
            _ => self.serve(request).await,
        }
    }
}

impl CompletionTask {
    async fn stream(self, sender: Sender<Result<Bytes, BodyError>>) {
        for index in self.start_index..self.max_tokens {
            if !self.wait_for_token(index).await {
                let _ = sender.send(Err(BodyError("group broke".to_owned()))).await;
                return;
            }
            let text = token_text(&self.prompt, index);
            let chunk = json!({
                "id": self.request_id,
                "object": "chat.completion.chunk",
                "jujube_index": index,
                "choices": [{ "index": 0, "delta": { "content": text } }],
            });
            if sender
                .send(Ok(format!("data: {chunk}\n\n").into()))
                .await
                .is_err()
            {
                return;
            }
        }
        let _ = sender.send(Ok("data: [DONE]\n\n".into())).await;
    }

    /// Sends one event without an end until the caller closes the connection.
    async fn stream_without_end(self, sender: Sender<Result<Bytes, BodyError>>, bytes: usize) {
        let piece = Bytes::from(vec![b'x'; bytes]);
        let mut sent = sender.send(Ok("data: ".into())).await;
        while sent.is_ok() {
            sent = sender.send(Ok(piece.clone())).await;
        }
    }

    async fn full_response(self) -> Option<Response<ReplyBody>> {
        let mut answer = String::new();
        for index in 0..self.max_tokens {
            if !self.wait_for_token(index).await {
                return None;
            }
            answer.push_str(&token_text(&self.prompt, index));
        }
        Some(json_response(&json!({
            "id": self.request_id,
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": answer } }],
        })))
    }

    /// Waits until the next token is due; returns false if the VM or another member of
    /// its group has failed.
    async fn wait_for_token(&self, index: u64) -> bool {
        let delay = {
            let mut engine = self.engine.lock().expect("engine lock");
            if index == self.start_index {
                engine.prefill(&self.prompt)
            } else {
                engine.token_delay(self.slots)
            }
        };
        smol::Timer::after(delay).await;
        while is_unresponsive(&self.engine) {
            if !self.engine.lock().expect("engine lock").is_alive {
                return false;
            }
            smol::Timer::after(FREEZE_POLL_INTERVAL).await;
        }
        self.registry.is_group_intact(&self.vm, Instant::now())
    }
}

impl Drop for CompletionTask {
    fn drop(&mut self) {
        self.engine.lock().expect("engine lock").end_request();
    }
}

fn is_unresponsive(engine: &Mutex<EngineState>) -> bool {
    let engine = engine.lock().expect("engine lock");
    engine.is_frozen || !engine.is_alive
}

fn refusal(engine: &EngineState, headers: &HeaderMap, now: Instant) -> Option<Response<ReplyBody>> {
    let report = engine.report(now);
    let generation = header(headers, "jujube-generation");
    let is_for_group = header(headers, "jujube-group") == report.group
        && generation.parse() == Ok(report.generation);
    let reason = match report.phase {
        EnginePhase::Cold | EnginePhase::Warm if is_for_group => return None,
        EnginePhase::Cold | EnginePhase::Warm => "generation",
        EnginePhase::Idle | EnginePhase::Loading => "not-loaded",
    };
    let mut response = text_response(StatusCode::CONFLICT, "");
    let reason = hyper::header::HeaderValue::from_static(reason);
    response.headers_mut().insert("jujube-refused", reason);
    Some(response)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn prompt_of(body: &Value) -> String {
    match &body["prompt"] {
        Value::String(prompt) => prompt.clone(),
        _ => body["messages"][0]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
    }
}
