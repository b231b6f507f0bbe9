//! One attempt to open a stream at one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use jujuberoad::routing::WholeEvent;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::PooledBody;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;

use crate::bounded_body::read_whole;
use crate::call_deadline::timeout_at;
use crate::caller_request::CallerRequest;
use crate::endpoint_call;
use crate::endpoint_guard::EndpointGuard;
use crate::event_source::EventSource;
use crate::event_source::SourceItem;
use crate::gateway_core::GatewayCore;
use crate::run_count::RunCount;
use crate::stream_guard::StreamGuard;
use crate::target_paces;

/// Largest error response that is buffered.
pub(crate) const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A successfully opened stream.
pub(crate) struct OpenStream {
    pub(crate) guard: Box<dyn StreamGuard>,
    pub(crate) parts: Parts,
    pub(crate) source: EventSource,
    /// The first events; `None` if the stream ended before any.
    pub(crate) first: Option<Vec<WholeEvent>>,
}

/// How an attempt to open a stream ended.
pub(crate) enum AttemptEnd {
    Open(Box<OpenStream>),
    /// An error response of the endpoint, forwarded unchanged.
    Failure(Box<Response<ReplyBody>>),
    NotRun(CallError),
    MayHaveRun(CallError),
}

impl AttemptEnd {
    /// Returns whether the attempt gave neither a stream nor a response.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::MayHaveRun(_))
    }
}

/// An attempt to open the stream of `request` behind event `after`.
pub(crate) struct StreamAttempt {
    pub(crate) core: Arc<GatewayCore>,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) after: Option<u64>,
    /// Whether the caller has received the head of the stream already.
    pub(crate) is_continuation: bool,
    pub(crate) count: Arc<RunCount>,
}

impl StreamAttempt {
    /// Sends the request and waits for the first event until the request's deadline.
    ///
    /// An endpoint that is merely silent does not end the attempt. Another attempt may be in
    /// progress meanwhile, so the attempt counts itself.
    pub(crate) async fn run(self, guard: EndpointGuard) -> AttemptEnd {
        self.count.begin();
        let end = self.open(guard).await;
        if let AttemptEnd::NotRun(_) = end {
            self.count.record_not_run();
        }
        end
    }

    async fn open(&self, mut guard: EndpointGuard) -> AttemptEnd {
        let address = guard.reserved.target.address;
        let sent_at = Instant::now();
        let send = endpoint_call::send(&self.core, &self.request, &guard.reserved, self.after);
        let answer = match send.await {
            Ok(answer) => answer,
            Err(error) if !error.was_sent => {
                let endpoint = &guard.reserved.target.endpoint;
                self.core.mark_silent(endpoint, error.silence_kind());
                self.core
                    .observe_failure(&self.request.pool.service, endpoint);
                self.core.poison.record_lost_endpoint(endpoint);
                return AttemptEnd::NotRun(error);
            }
            Err(error) => {
                guard.run.record_error(&error);
                return AttemptEnd::MayHaveRun(error);
            }
        };
        guard.run.record_contact(Instant::now());
        let service = &self.request.pool.service;
        self.core
            .observe_contact(service, guard.endpoint(), address);
        let status = answer.response.status();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.core.handle_misdirected(&guard.reserved.target);
        }
        if answer.head.was_not_run {
            let message = format!("status {status}, not run");
            return AttemptEnd::NotRun(CallError::sent(CallStep::Decode, address, message));
        }
        if !status.is_success() {
            return self.read_failure(address, answer.response).await;
        }
        let (mut parts, body) = answer.response.into_parts();
        if self.is_continuation && !is_event_stream(status, &parts.headers) {
            let message = format!("status {status} without a stream");
            let error = CallError::sent(CallStep::Decode, address, message);
            return AttemptEnd::MayHaveRun(error);
        }
        // The length of a resumed stream differs from that of its first response.
        parts.headers.remove(CONTENT_LENGTH);
        let mut source = if self.is_continuation {
            EventSource::new_continuation(body)
        } else {
            EventSource::new(body)
        };
        let lost = |reason: String| {
            AttemptEnd::MayHaveRun(CallError::sent(CallStep::Read, address, reason))
        };
        let first = match timeout_at(self.request.deadline, source.next()).await {
            Some(SourceItem::Events(events)) => Some(events),
            Some(SourceItem::Ended) => None,
            Some(SourceItem::Lost(reason)) => {
                guard.run.record_lost();
                return lost(reason);
            }
            Some(SourceItem::Expired) | None => return lost("deadline passed".to_owned()),
        };
        // A pause of the engine says nothing of its usual time to a first event.
        if self.after.is_none() && !guard.was_silent() {
            let mut latency = self.core.first_events.lock().expect("first event lock");
            latency.observe(&self.request.pool, sent_at.elapsed());
            drop(latency);
            let target = &guard.reserved.target;
            target_paces::observe_answer(&self.core, &self.request, target, sent_at);
        }
        guard.observe_event();
        AttemptEnd::Open(Box::new(OpenStream {
            guard: Box::new(guard),
            parts,
            source,
            first,
        }))
    }

    /// Reads an error response of the endpoint, which is forwarded unchanged.
    async fn read_failure(
        &self,
        address: SocketAddr,
        response: Response<PooledBody>,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let memory = &self.core.caller_memory.bodies;
        let read = read_whole(
            memory,
            body,
            MAX_FAILURE_BYTES,
            address,
            self.request.deadline,
        );
        match read.await {
            Ok(body) => {
                let response = Response::from_parts(parts, full_body(body));
                AttemptEnd::Failure(Box::new(response))
            }
            Err(error) => AttemptEnd::MayHaveRun(error),
        }
    }
}

/// Returns whether a successful response may be a stream of events. One that names no type may be;
/// text of another kind has no ids.
pub(crate) fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let Some(kind) = headers.get(CONTENT_TYPE) else {
        return status == StatusCode::OK;
    };
    let kind = kind.to_str().unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default();
    status == StatusCode::OK && kind.trim().eq_ignore_ascii_case("text/event-stream")
}
