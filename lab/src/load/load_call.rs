//! One call of the load tool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use jujuberoad_node::http::HttpPool;
use jujuberoad_node::http::PooledBody;
use serde_json::Value;
use serde_json::json;

use super::CallKind;
use super::CallRecord;
use crate::standins::token_text;

/// Time after which a call is abandoned.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// A call to send.
#[derive(Clone, Debug)]
pub struct LoadCall {
    /// Sequence number of the call in its run.
    pub call: u64,
    /// Kind of the call.
    pub kind: CallKind,
    /// Team that sends it.
    pub team: String,
    /// Model that it requests.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of tokens in the answer.
    pub tokens: u64,
    /// Path prefix of the plain service.
    pub service_prefix: String,
    /// Idempotency key of an entry; empty for other kinds.
    pub key: String,
    /// Index of the router, in the order of the plan.
    pub router: usize,
    /// Address of the router.
    pub address: SocketAddr,
}

impl LoadCall {
    /// Sends the call and returns its result; times count from `run_started_at`.
    pub async fn send(self, pool: Arc<HttpPool>, run_started_at: Instant) -> CallRecord {
        let mut record = self.new_record(run_started_at);
        let deadline = Instant::now() + CALL_TIMEOUT;
        let timeout = async {
            smol::Timer::at(deadline).await;
            Err("call timed out".to_owned())
        };
        let result = self
            .exchange(&pool, &mut record, deadline)
            .or(timeout)
            .await;
        if let Err(detail) = result {
            record.detail = detail;
        }
        record.ended_us = micros(run_started_at.elapsed());
        record
    }

    fn new_record(&self, run_started_at: Instant) -> CallRecord {
        CallRecord {
            call: self.call,
            kind: self.kind,
            team: self.team.clone(),
            key: self.key.clone(),
            router: self.router,
            started_us: micros(run_started_at.elapsed()),
            ended_us: 0,
            status: 0,
            outcome: String::new(),
            is_whole: false,
            retry_after: 0,
            first_token_us: 0,
            gaps_us: Vec::new(),
            detail: String::new(),
        }
    }

    async fn exchange(
        &self,
        pool: &Arc<HttpPool>,
        record: &mut CallRecord,
        deadline: Instant,
    ) -> Result<(), String> {
        let started_at = Instant::now();
        let request = self.request().map_err(|error| error.to_string())?;
        let response = pool.send(self.address, request, false, deadline).await;
        let response = response.map_err(|error| error.to_string())?;
        record.status = response.status().as_u16();
        record.outcome = header_text(response.headers(), "jujube-outcome");
        record.retry_after = header_text(response.headers(), "retry-after")
            .parse()
            .unwrap_or(0);
        if self.kind == CallKind::Stream && response.status().is_success() {
            return self.read_stream(response, record, started_at).await;
        }
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| error.to_string())?;
        let answer: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        record.is_whole = match self.kind {
            CallKind::Entry => answer["key"] == *self.key,
            _ => answer["choices"][0]["message"]["content"] == *self.expected_text(),
        };
        if !record.is_whole {
            record.detail = answer["detail"]
                .as_str()
                .unwrap_or("answer differs from the expected one")
                .to_owned();
        }
        Ok(())
    }

    async fn read_stream(
        &self,
        response: Response<PooledBody>,
        record: &mut CallRecord,
        started_at: Instant,
    ) -> Result<(), String> {
        let mut events = response.into_body().into_data_stream().eventsource();
        let mut text = String::new();
        let mut last_at = started_at;
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| error.to_string())?;
            if event.event == "error" {
                let problem: Value = serde_json::from_str(&event.data).unwrap_or_default();
                record.outcome = problem["outcome"].as_str().unwrap_or_default().to_owned();
                return Err(problem["detail"].as_str().unwrap_or_default().to_owned());
            }
            if event.data == "[DONE]" {
                record.is_whole = text == self.expected_text();
                return Ok(());
            }
            let chunk: Value =
                serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
            text.push_str(
                chunk["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
            let now = Instant::now();
            if record.first_token_us == 0 {
                record.first_token_us = micros(now - started_at).max(1);
            } else {
                record.gaps_us.push(micros(now - last_at));
            }
            last_at = now;
        }
        Err("stream ended before [DONE]".to_owned())
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let request = Request::builder()
            .method("POST")
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .header("jujube-team", &self.team);
        if self.kind == CallKind::Entry {
            let body = json!({ "entry": self.key }).to_string();
            return request
                .uri(format!("{}/entries", self.service_prefix))
                .header("idempotency-key", &self.key)
                .body(Full::new(body.into()));
        }
        let body = json!({
            "model": self.model,
            "stream": self.kind == CallKind::Stream,
            "max_tokens": self.tokens,
            "messages": [{ "role": "user", "content": self.prompt }],
        });
        request
            .uri("/v1/chat/completions")
            .body(Full::new(body.to_string().into()))
    }

    fn expected_text(&self) -> String {
        (0..self.tokens)
            .map(|index| token_text(&self.prompt, index))
            .collect()
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
