//! Opens a stream at an endpoint, and opens it again elsewhere when it is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use jujuberoad::fleet::PoolKey;
use jujuberoad::ids::EndpointId;
use jujuberoad::routing::WholeEvent;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::backends::CallStep;
use jujuberoad_node::http::PooledBody;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::http::full_body;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;
use smol::channel::Receiver;

use crate::call_deadline::by_deadline;
use crate::caller_request::CallerRequest;
use crate::endpoint_call;
use crate::event_source::EventSource;
use crate::event_source::SourceItem;
use crate::gateway_core::GatewayCore;
use crate::own_answer::OwnAnswer;
use crate::plain_call::note_own_end;
use crate::stall_board::StreamNumber;
use crate::stream_relay::StreamRelay;
use crate::taken_target::TakenTarget;
use crate::taken_target::TargetNeed;

/// Times that a stream which certainly has not run is sent elsewhere.
const MAX_UNRUN_SENDS: u32 = 3;
/// Time for which a resumed stream waits for a slot; callers leave after a gap of
/// two seconds.
const RESUME_WAIT: Duration = Duration::from_millis(1_200);

/// One request for a stream.
pub(crate) struct StreamCall {
    pub(crate) core: Arc<GatewayCore>,
    pub(crate) request: CallerRequest,
    /// Endpoints at which the request may have run.
    pub(crate) runs: u32,
    unrun_sends: u32,
    need: TargetNeed,
    pub(crate) waited_ms: u64,
}

/// A run of a stream that has begun.
pub(crate) struct OpenRun {
    pub(crate) entry: StreamEntry,
    pub(crate) parts: Parts,
    pub(crate) source: EventSource,
    /// Its first events; nothing when it ended before any.
    pub(crate) first: Option<Vec<WholeEvent>>,
}

/// A stream's place at its head; it is left when this is dropped.
pub(crate) struct StreamEntry {
    core: Arc<GatewayCore>,
    pub(crate) taken: TakenTarget,
    number: StreamNumber,
    pub(crate) lost: Receiver<()>,
}

enum RunEnd {
    Open(Box<OpenRun>),
    /// The endpoint answered with a failure that is passed on as it is.
    Failure(Box<Response<ReplyBody>>),
    NotRun(CallError),
    MayHaveRun(CallError),
}

impl StreamEntry {
    fn new(core: &Arc<GatewayCore>, taken: TakenTarget, pool: &PoolKey) -> Self {
        let first_event_timeout = {
            let latency = core.first_events.lock().expect("first event lock");
            latency.first_event_timeout(pool)
        };
        let (number, lost) = core.stalls.enter(&taken.target, first_event_timeout);
        Self {
            core: Arc::clone(core),
            taken,
            number,
            lost,
        }
    }

    /// Notes that events have arrived.
    pub(crate) fn observe_event(&mut self) {
        self.taken.note_answered();
        self.core
            .stalls
            .observe_event(&self.taken.target.endpoint, self.number);
    }

    /// Returns the endpoint.
    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.taken.target.endpoint
    }
}

impl Drop for StreamEntry {
    fn drop(&mut self) {
        self.core
            .stalls
            .leave(&self.taken.target.endpoint, self.number);
    }
}

impl StreamCall {
    pub(crate) fn new(core: Arc<GatewayCore>, request: CallerRequest) -> Self {
        let need = request.need(&core);
        Self {
            core,
            request,
            runs: 0,
            unrun_sends: 0,
            need,
            waited_ms: 0,
        }
    }

    /// Returns the answer of an endpoint once its first event is there, or ours.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        let after = self.request.head.seen_event;
        match self.open(after).await {
            Ok(Ok(run)) => StreamRelay::respond(self, run),
            Ok(Err(response)) => response,
            Err(answer) => {
                note_own_end(&self.core, &self.request, &answer, self.runs);
                answer.into_response(&self.core, &self.request.id)
            }
        }
    }

    /// Opens a run that begins behind event `after`; returns it, or the failure
    /// of an endpoint, or why there is neither.
    pub(crate) async fn open(
        &mut self,
        after: Option<u64>,
    ) -> Result<Result<OpenRun, Response<ReplyBody>>, OwnAnswer> {
        loop {
            let taken = match TakenTarget::take(&self.core, &self.need).await {
                Ok(taken) => taken,
                Err(reason) if self.runs == 0 => return Err(self.request.refusal(reason)),
                Err(reason) => {
                    let reason = format!("no second endpoint: {reason}");
                    return Err(OwnAnswer::unknown(StatusCode::BAD_GATEWAY, reason));
                }
            };
            if self.runs == 0 {
                self.waited_ms = self.request.age_ms();
            }
            let endpoint = taken.target.endpoint.clone();
            self.need.tried.push(endpoint.clone());
            match self.attempt(taken, after).await {
                RunEnd::Open(run) => {
                    self.runs += 1;
                    return Ok(Ok(*run));
                }
                RunEnd::Failure(response) => {
                    self.runs += 1;
                    return Ok(Err(*response));
                }
                RunEnd::NotRun(error) => {
                    self.unrun_sends += 1;
                    let is_allowed = !error.was_sent || self.core.try_retry();
                    if self.unrun_sends >= MAX_UNRUN_SENDS || !is_allowed {
                        return Err(self.request.unrun_answer(self.runs, &error));
                    }
                    self.note_retry(&endpoint, &error);
                }
                RunEnd::MayHaveRun(error) => {
                    self.runs += 1;
                    if !self.may_run_again() {
                        let status = if Instant::now() >= self.request.deadline {
                            StatusCode::GATEWAY_TIMEOUT
                        } else {
                            StatusCode::BAD_GATEWAY
                        };
                        return Err(OwnAnswer::unknown(status, error.to_string()));
                    }
                    self.note_retry(&endpoint, &error);
                    self.wait_as_resumed();
                }
            }
        }
    }

    /// Tells whether the stream may run at one more endpoint, and pays for that.
    pub(crate) fn may_run_again(&self) -> bool {
        self.request.route.is_repeatable()
            && self.runs < self.request.route.attempts
            && Instant::now() < self.request.deadline
            && self.core.try_retry()
    }

    /// Lets the next run go before requests that have not begun.
    pub(crate) fn wait_as_resumed(&mut self) {
        self.need.is_resumed = true;
        self.need.give_up_at = self.request.deadline.min(Instant::now() + RESUME_WAIT);
    }

    async fn attempt(&self, taken: TakenTarget, after: Option<u64>) -> RunEnd {
        let address = taken.target.address;
        let sent_at = Instant::now();
        let mut entry = StreamEntry::new(&self.core, taken, &self.request.pool);
        let lost_signal = entry.lost.clone();
        let lost = async {
            if lost_signal.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            Err(CallError::sent(
                CallStep::Send,
                address,
                "the group fell silent",
            ))
        };
        let send = endpoint_call::send(&self.core, &self.request, &entry.taken, after);
        let answer = match send.or(lost).await {
            Ok(answer) => answer,
            Err(error) if !error.was_sent => {
                self.core.mark_lost(&entry.taken.target.endpoint);
                return RunEnd::NotRun(error);
            }
            Err(error) => return RunEnd::MayHaveRun(error),
        };
        let status = answer.response.status();
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.core.note_misdirected(&entry.taken.target);
        }
        if answer.head.was_not_run {
            let error = CallError::sent(
                CallStep::Decode,
                address,
                format!("status {status}, not run"),
            );
            return RunEnd::NotRun(error);
        }
        if !status.is_success() {
            return self.read_failure(address, answer.response).await;
        }
        let (mut parts, body) = answer.response.into_parts();
        // A resumed stream has another length than its first run said.
        parts.headers.remove(CONTENT_LENGTH);
        let mut source = EventSource::new(body);
        let next = async { Some(source.next().await) };
        let signalled = async {
            if lost_signal.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            None
        };
        let first = by_deadline(self.request.deadline, next.or(signalled)).await;
        let first = match first {
            Some(Some(SourceItem::Events(events))) => Some(events),
            Some(Some(SourceItem::Ended)) => None,
            Some(Some(SourceItem::Lost(reason))) => {
                return RunEnd::MayHaveRun(CallError::sent(CallStep::Read, address, reason));
            }
            Some(None) => {
                let error = CallError::sent(CallStep::Read, address, "the group fell silent");
                return RunEnd::MayHaveRun(error);
            }
            None => {
                let error = CallError::sent(CallStep::Read, address, "deadline passed");
                return RunEnd::MayHaveRun(error);
            }
        };
        if after.is_none() {
            let mut latency = self.core.first_events.lock().expect("first event lock");
            latency.observe(&self.request.pool, sent_at.elapsed());
        }
        entry.observe_event();
        RunEnd::Open(Box::new(OpenRun {
            entry,
            parts,
            source,
            first,
        }))
    }

    /// Reads a failure of the endpoint, which is passed on as it is.
    async fn read_failure(&self, address: SocketAddr, response: Response<PooledBody>) -> RunEnd {
        let (parts, body) = response.into_parts();
        let lost =
            |reason: String| RunEnd::MayHaveRun(CallError::sent(CallStep::Read, address, reason));
        match by_deadline(self.request.deadline, body.collect()).await {
            Some(Ok(body)) => {
                let body = full_body(body.to_bytes());
                RunEnd::Failure(Box::new(Response::from_parts(parts, body)))
            }
            Some(Err(error)) => lost(error.to_string()),
            None => lost("deadline passed".to_owned()),
        }
    }

    fn note_retry(&self, endpoint: &EndpointId, error: &CallError) {
        self.core.metrics.retries.inc();
        self.core.log.write(
            LogKind::Retry,
            json!({
                "request": self.request.id,
                "route": self.request.route.name,
                "from": endpoint,
                "reason": error.to_string(),
                "runs": self.runs,
                "age_ms": self.request.age_ms(),
            }),
        );
    }
}
