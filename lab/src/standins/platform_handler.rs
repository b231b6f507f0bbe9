//! HTTP side of the stand-in for the platform: key-value service and VM list.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;

use super::EngineWorld;
use super::KvState;
use super::http_text::body_bytes;
use super::http_text::json;
use super::http_text::query_number;
use super::http_text::text;
use super::kv_state::KvRefusal;

/// Time between two looks of a waiting watch.
const WATCH_TICK: Duration = Duration::from_millis(10);

/// Serves the key-value service and the list of VMs.
pub struct PlatformHandler {
    kv: Arc<Mutex<KvState>>,
    world: Arc<EngineWorld>,
}

impl PlatformHandler {
    /// Serves `kv` and the VMs of `world`.
    pub fn new(kv: Arc<Mutex<KvState>>, world: Arc<EngineWorld>) -> Arc<Self> {
        Arc::new(Self { kv, world })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let body = body_bytes(body).await;
        let path = head.uri.path().to_owned();
        let query = head.uri.query();
        if path == "/vms" {
            return json(&self.world.listings());
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return self.watch(key, query).await;
        }
        let now = Instant::now();
        let mut kv = self.kv.lock().expect("kv lock");
        if let Some(prefix) = path.strip_prefix("/list/") {
            kv.count("list");
            return json(&kv.list(prefix, now));
        }
        if let Some(lease) = path.strip_prefix("/lease/") {
            kv.count("renew");
            let is_known = lease.parse().is_ok_and(|lease| kv.renew_lease(lease, now));
            let status = if is_known {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            };
            return text(status, "");
        }
        if path == "/lease" {
            kv.count("lease");
            return json(&kv.open_lease(query_number(query, "ttl_ms").unwrap_or(0), now));
        }
        let Some(key) = path.strip_prefix("/kv/") else {
            return text(StatusCode::NOT_FOUND, "");
        };
        let expected = query_number(query, "expected").unwrap_or(0);
        match head.method {
            Method::GET => {
                kv.count("get");
                found(kv.get(key, now), StatusCode::NOT_FOUND)
            }
            Method::PUT => {
                kv.count("put");
                let lease = query_number(query, "lease");
                written(kv.put(key, expected, body, lease, now))
            }
            Method::DELETE => {
                kv.count("delete");
                written(kv.delete(key, expected, now).map(|()| 0))
            }
            _ => text(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    async fn watch(&self, key: &str, query: Option<&str>) -> Response<ReplyBody> {
        let known = query_number(query, "known").unwrap_or(0);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
        self.kv.lock().expect("kv lock").count("watch");
        loop {
            let now = Instant::now();
            if self.kv.lock().expect("kv lock").is_out(now) {
                return text(StatusCode::SERVICE_UNAVAILABLE, "");
            }
            let value = self.kv.lock().expect("kv lock").get(key, now);
            if value.as_ref().is_some_and(|(version, _)| *version != known) {
                return found(value, StatusCode::NOT_MODIFIED);
            }
            if now >= ends_at {
                return text(StatusCode::NOT_MODIFIED, "");
            }
            smol::Timer::after(WATCH_TICK).await;
        }
    }
}

#[async_trait]
impl HttpHandler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let is_write = request.method() == Method::PUT;
        let (is_out, delay_ms) = {
            let kv = self.kv.lock().expect("kv lock");
            (kv.is_out(Instant::now()), kv.delay_ms)
        };
        if is_out {
            return text(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let answer = self.answer(request).await;
        if is_write && self.takes_answer_away() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

impl PlatformHandler {
    fn takes_answer_away(&self) -> bool {
        let mut kv = self.kv.lock().expect("kv lock");
        let is_lost = kv.lost_answers > 0;
        kv.lost_answers = kv.lost_answers.saturating_sub(1);
        is_lost
    }
}

fn found(value: Option<(u64, Bytes)>, otherwise: StatusCode) -> Response<ReplyBody> {
    let Some((version, bytes)) = value else {
        return text(otherwise, "");
    };
    let response = Response::builder().header("platform-version", version);
    response
        .body(full_body(bytes))
        .unwrap_or_else(|_| text(StatusCode::BAD_REQUEST, ""))
}

fn written(result: Result<u64, KvRefusal>) -> Response<ReplyBody> {
    let (status, version) = match result {
        Ok(version) => (StatusCode::OK, version),
        Err(KvRefusal::Conflict(found)) => (StatusCode::CONFLICT, found),
        Err(KvRefusal::NoLease) => (StatusCode::GONE, 0),
    };
    let response = Response::builder()
        .status(status)
        .header("platform-version", version);
    response
        .body(full_body(""))
        .unwrap_or_else(|_| text(StatusCode::BAD_REQUEST, ""))
}
