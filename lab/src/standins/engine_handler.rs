//! HTTP side of a VM: reports, orders and requests.

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

use super::EngineState;
use super::EngineWorld;
use super::http_text::body_bytes;
use super::http_text::json as json_answer;
use super::http_text::text;
use super::token_text;

/// Tokens of an answer when the request does not say.
const DEFAULT_TOKENS: u64 = 16;
/// Time between two looks at whether a frozen VM moves again.
const FREEZE_TICK: Duration = Duration::from_millis(20);

/// Answers for one VM.
pub struct EngineHandler {
    engine: Arc<Mutex<EngineState>>,
    world: Arc<EngineWorld>,
    slots: u64,
}

/// A request that an engine has begun.
struct EngineRun {
    engine: Arc<Mutex<EngineState>>,
    world: Arc<EngineWorld>,
    slots: u64,
    vm: String,
    id: String,
    prompt: String,
    from: u64,
    tokens: u64,
}

impl EngineHandler {
    /// Answers for `engine`, whose groups bear `slots` requests at a time.
    pub fn new(engine: Arc<Mutex<EngineState>>, world: Arc<EngineWorld>, slots: u64) -> Arc<Self> {
        Arc::new(Self {
            engine,
            world,
            slots,
        })
    }

    fn begin(
        &self,
        headers: &HeaderMap,
        body: &Value,
    ) -> Result<EngineRun, Box<Response<ReplyBody>>> {
        let now = Instant::now();
        let mut engine = self.engine.lock().expect("engine lock");
        if let Some(refused) = refusal(&engine, headers, now) {
            engine.counts.refused += 1;
            return Err(Box::new(refused));
        }
        engine.begin(now);
        let vm = engine.vm.to_string();
        drop(engine);
        let number = |value: &Value, default: u64| value.as_u64().unwrap_or(default);
        Ok(EngineRun {
            engine: Arc::clone(&self.engine),
            world: Arc::clone(&self.world),
            slots: self.slots,
            vm,
            id: header(headers, "jujube-request-id").to_owned(),
            prompt: prompt_of(body),
            from: number(&body["jujube_resume"]["from"], 0),
            tokens: number(&body["max_tokens"], DEFAULT_TOKENS),
        })
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let body = body_bytes(body).await;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let run = match self.begin(&head.headers, &body) {
            Ok(run) => run,
            Err(refused) => return *refused,
        };
        let wants_stream = body["stream"] == Value::Bool(true);
        let (sender, receiver) = channel::bounded::<Result<Bytes, BodyError>>(4);
        if wants_stream {
            runtime::spawn(run.stream(sender));
            let frames = futures_lite::StreamExt::map(receiver, |item| item.map(Frame::data));
            return Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        }
        let answer = run.whole().await;
        answer.unwrap_or_else(|| text(StatusCode::INTERNAL_SERVER_ERROR, "group broke"))
    }
}

#[async_trait]
impl HttpHandler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        while is_stuck(&self.engine) {
            smol::Timer::after(FREEZE_TICK).await;
        }
        match request.uri().path() {
            "/control/report" => {
                let report = self
                    .engine
                    .lock()
                    .expect("engine lock")
                    .report(Instant::now());
                json_answer(&report)
            }
            "/control/order" => {
                let body = body_bytes(request.into_body()).await;
                let Ok(order) = serde_json::from_slice::<EngineOrder>(&body) else {
                    return text(StatusCode::BAD_REQUEST, "");
                };
                let mut engine = self.engine.lock().expect("engine lock");
                let is_taken = engine.take_order(order, Instant::now());
                text(
                    if is_taken {
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

impl EngineRun {
    async fn stream(self, sender: Sender<Result<Bytes, BodyError>>) {
        for index in self.from..self.tokens {
            if !self.wait_for_token(index).await {
                let _ = sender.send(Err(BodyError("group broke".to_owned()))).await;
                return;
            }
            let text = token_text(&self.prompt, index);
            let chunk = json!({
                "id": self.id,
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

    async fn whole(self) -> Option<Response<ReplyBody>> {
        let mut answer = String::new();
        for index in 0..self.tokens {
            if !self.wait_for_token(index).await {
                return None;
            }
            answer.push_str(&token_text(&self.prompt, index));
        }
        Some(json_answer(&json!({
            "id": self.id,
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": answer } }],
        })))
    }

    /// Waits until the next token is due; returns false when the group broke.
    async fn wait_for_token(&self, index: u64) -> bool {
        let pause = {
            let mut engine = self.engine.lock().expect("engine lock");
            if index == self.from {
                engine.prefill(&self.prompt)
            } else {
                engine.token_pause(self.slots)
            }
        };
        smol::Timer::after(pause).await;
        while is_stuck(&self.engine) {
            if !self.engine.lock().expect("engine lock").is_alive {
                return false;
            }
            smol::Timer::after(FREEZE_TICK).await;
        }
        self.world.is_group_whole(&self.vm, Instant::now())
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.engine.lock().expect("engine lock").end();
    }
}

fn is_stuck(engine: &Mutex<EngineState>) -> bool {
    let engine = engine.lock().expect("engine lock");
    engine.is_frozen || !engine.is_alive
}

fn refusal(engine: &EngineState, headers: &HeaderMap, now: Instant) -> Option<Response<ReplyBody>> {
    let report = engine.report(now);
    let generation = header(headers, "jujube-generation");
    let is_meant = header(headers, "jujube-group") == report.group
        && generation.parse() == Ok(report.generation);
    let reason = match report.phase {
        EnginePhase::Cold | EnginePhase::Warm if is_meant => return None,
        EnginePhase::Cold | EnginePhase::Warm => "generation",
        EnginePhase::Idle | EnginePhase::Loading => "not-loaded",
    };
    let mut response = text(StatusCode::CONFLICT, "");
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
