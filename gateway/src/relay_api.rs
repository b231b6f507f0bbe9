//! Takes requests that peers relay because they have lost their path to the endpoints.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use jujuberoad::peer::RelayHead;
use jujuberoad_node::http::HttpHandler;
use jujuberoad_node::http::ReplyBody;

use crate::caller_api::CallerApi;
use crate::caller_api::request_id;
use crate::gateway_core::GatewayCore;
use crate::local_reply::LocalReply;
use crate::relay_call::RELAY_HEADER;
use crate::relay_call::RELAY_UNABLE;

/// Maximum number of relayed requests in progress.
const MAX_RELAYED: u32 = 1_024;

/// Serves relayed requests like those of callers: keys, routes and limits are checked here again,
/// so the address gives no rights that the address for callers does not give.
pub(crate) struct RelayApi {
    core: Arc<GatewayCore>,
    callers: Arc<CallerApi>,
    in_progress: Arc<AtomicU32>,
}

impl RelayApi {
    pub(crate) fn new(core: Arc<GatewayCore>, callers: Arc<CallerApi>) -> Arc<Self> {
        Arc::new(Self {
            core,
            callers,
            in_progress: Arc::default(),
        })
    }

    /// Returns why a request cannot be taken here, if it cannot.
    fn obstacle(&self, head: &RelayHead) -> Option<&'static str> {
        let view = self.core.fleet.view();
        let config_version = view.config.map(|config| config.version);
        if self.core.is_stopping() {
            Some("this router is stopping")
        } else if config_version < Some(head.config_version) {
            Some("this router has an older configuration")
        } else if self.in_progress.load(Ordering::Relaxed) >= MAX_RELAYED {
            Some("too many relayed requests are in progress")
        } else {
            None
        }
    }
}

#[async_trait]
impl HttpHandler for RelayApi {
    async fn handle(&self, mut request: Request<Incoming>) -> Response<ReplyBody> {
        let id = request_id(&self.core, request.headers());
        let path = request.uri().path().to_owned();
        let value = request.headers_mut().remove(RELAY_HEADER);
        let text = value.as_ref().and_then(|value| value.to_str().ok());
        let Some(head) = text.and_then(|text| text.parse::<RelayHead>().ok()) else {
            let reason = format!("the header {RELAY_HEADER:?} is missing or malformed");
            let reply = LocalReply::not_run(StatusCode::BAD_REQUEST, reason);
            return self.callers.refuse(reply, &id, &path);
        };
        if let Some(reason) = self.obstacle(&head) {
            let reply = LocalReply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.callers.refuse(reply.for_other_router(), &id, &path);
        }
        let _count = RelayedCount::new(&self.in_progress);
        let runs = head.runs;
        let mut response = self.callers.respond(request, Some(head)).await;
        // An attempt at the other router may have executed the request, so its caller must not be
        // told that it was not.
        let dialect = &self.core.backends.dialect;
        let is_local = !dialect
            .read_response_head(response.status(), response.headers())
            .is_signed;
        if runs > 0 && is_local && response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let mark = HeaderValue::from_static(RELAY_UNABLE);
            response.headers_mut().insert(RELAY_HEADER, mark);
        }
        response
    }
}

/// Counts a relayed request until its response begins.
struct RelayedCount(Arc<AtomicU32>);

impl RelayedCount {
    fn new(in_progress: &Arc<AtomicU32>) -> Self {
        in_progress.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(in_progress))
    }
}

impl Drop for RelayedCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
