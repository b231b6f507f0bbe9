//! HTTP interface of the stand-in platform: key-value service and VM list.

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
use jujuberoad_node::http::decode_key;
use jujuberoad_node::http::full_body;

use super::EngineRegistry;
use super::KvState;
use super::http_utils::json_response;
use super::http_utils::query_number;
use super::http_utils::read_body;
use super::http_utils::text_response;
use super::kv_state::KvError;

/// Interval at which a pending watch reads its key.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves the key-value service and the list of VMs.
pub struct PlatformHandler {
    kv: Arc<Mutex<KvState>>,
    registry: Arc<EngineRegistry>,
}

impl PlatformHandler {
    /// Serves `kv` and the VMs of `registry`.
    pub fn new(kv: Arc<Mutex<KvState>>, registry: Arc<EngineRegistry>) -> Arc<Self> {
        Arc::new(Self { kv, registry })
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let (head, body) = request.into_parts();
        let body = read_body(body).await;
        let Some(path) = decode_key(head.uri.path()) else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let query = head.uri.query();
        if path == "/vms" {
            return json_response(&self.registry.listings());
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return self.watch(key, query).await;
        }
        let now = Instant::now();
        let mut kv = self.kv.lock().expect("kv lock");
        if let Some(prefix) = path.strip_prefix("/list/") {
            kv.count_call("list");
            return json_response(&kv.list(prefix, now));
        }
        if let Some(lease) = path.strip_prefix("/lease/") {
            kv.count_call("renew");
            let is_renewed = lease.parse().is_ok_and(|lease| kv.renew_lease(lease, now));
            let status = if is_renewed {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            };
            return text_response(status, "");
        }
        if path == "/lease" {
            kv.count_call("lease");
            return json_response(&kv.open_lease(query_number(query, "ttl_ms").unwrap_or(0), now));
        }
        let Some(key) = path.strip_prefix("/kv/") else {
            return text_response(StatusCode::NOT_FOUND, "");
        };
        let expected = query_number(query, "expected").unwrap_or(0);
        match head.method {
            Method::GET => {
                kv.count_call("get");
                value_response(kv.get(key, now), StatusCode::NOT_FOUND)
            }
            Method::PUT => {
                kv.count_call("put");
                let lease = query_number(query, "lease");
                write_response(kv.put(key, expected, body, lease, now))
            }
            Method::DELETE => {
                kv.count_call("delete");
                write_response(kv.delete(key, expected, now).map(|()| 0))
            }
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, ""),
        }
    }

    async fn watch(&self, key: &str, query: Option<&str>) -> Response<ReplyBody> {
        let known_version = query_number(query, "known").unwrap_or(0);
        let wait_ms = query_number(query, "wait_ms").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        self.kv.lock().expect("kv lock").count_call("watch");
        loop {
            let now = Instant::now();
            if self.kv.lock().expect("kv lock").is_unavailable(now) {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
            }
            let value = self.kv.lock().expect("kv lock").get(key, now);
            if value
                .as_ref()
                .is_some_and(|(version, _)| *version != known_version)
            {
                return value_response(value, StatusCode::NOT_MODIFIED);
            }
            if now >= deadline {
                return text_response(StatusCode::NOT_MODIFIED, "");
            }
            smol::Timer::after(WATCH_POLL_INTERVAL).await;
        }
    }
}

#[async_trait]
impl HttpHandler for PlatformHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let is_write = request.method() == Method::PUT;
        let (is_unavailable, delay_ms) = {
            let kv = self.kv.lock().expect("kv lock");
            (kv.is_unavailable(Instant::now()), kv.delay_ms)
        };
        if is_unavailable {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        let answer = self.respond(request).await;
        if is_write && self.take_response_drop() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

impl PlatformHandler {
    fn take_response_drop(&self) -> bool {
        let mut kv = self.kv.lock().expect("kv lock");
        let is_dropped = kv.responses_to_drop > 0;
        kv.responses_to_drop = kv.responses_to_drop.saturating_sub(1);
        is_dropped
    }
}

fn value_response(value: Option<(u64, Bytes)>, missing_status: StatusCode) -> Response<ReplyBody> {
    let Some((version, bytes)) = value else {
        return text_response(missing_status, "");
    };
    let response = Response::builder().header("platform-version", version);
    response
        .body(full_body(bytes))
        .unwrap_or_else(|_| text_response(StatusCode::BAD_REQUEST, ""))
}

fn write_response(result: Result<u64, KvError>) -> Response<ReplyBody> {
    let (status, version) = match result {
        Ok(version) => (StatusCode::OK, version),
        Err(KvError::Conflict(found)) => (StatusCode::CONFLICT, found),
        Err(KvError::NoLease) => (StatusCode::GONE, 0),
    };
    let response = Response::builder()
        .status(status)
        .header("platform-version", version);
    response
        .body(full_body(""))
        .unwrap_or_else(|_| text_response(StatusCode::BAD_REQUEST, ""))
}
