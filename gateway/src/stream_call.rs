//! Opens a stream at an endpoint, and opens it at another one after a failure or a silence.

use std::future::Future;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use hyper::Response;
use hyper::StatusCode;
use jujuberoad::ids::EndpointId;
use jujuberoad_node::backends::CallError;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::buffered_call::record_local_end;
use crate::caller_request::CallerRequest;
use crate::endpoint_guard::EndpointGuard;
use crate::gateway_core::GatewayCore;
use crate::local_reply::LocalReply;
use crate::relay_call;
use crate::relay_call::RelayEnd;
use crate::relay_stream;
use crate::reserved_target::ReservedTarget;
use crate::reserved_target::TargetQuery;
use crate::run_count::RunCount;
use crate::silence_watch::SilenceWatch;
use crate::silence_watch::Wakeup;
use crate::stream_attempt::AttemptEnd;
use crate::stream_attempt::OpenStream;
use crate::stream_attempt::StreamAttempt;
use crate::stream_end::OpenEnd;
use crate::stream_end::WaitEnd;
use crate::stream_guard::StreamGuard;
use crate::stream_relay::StreamRelay;

/// Maximum attempts per request that are known not to have executed it.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 3;
/// Maximum time that a resumed stream waits for a slot; callers disconnect after a gap
/// of two seconds.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1_200);
/// Time between two attempts to move a stream away from a silent endpoint. Each takes a retry
/// from the budget.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(900);

/// One proxied streaming request with its attempts.
pub(crate) struct StreamCall {
    pub(crate) core: Arc<GatewayCore>,
    pub(crate) request: Arc<CallerRequest>,
    /// An attempt that is replaced while it is silent stays counted.
    count: Arc<RunCount>,
    query: TargetQuery,
    /// Whether the next attempt takes a retry from the budget.
    owes_retry: bool,
    /// When the stream may next be moved away from a silent endpoint.
    next_takeover_at: Instant,
    pub(crate) waited_ms: u64,
    /// Whether the caller has received the head of the stream.
    pub(crate) has_begun: bool,
}

/// Which of two runs goes on after the first one fell silent.
enum TakeoverEnd<T> {
    /// The silent run, which has gone on with this.
    Original(T),
    /// The new run.
    Opened(Box<OpenStream>),
    /// The silent run; no new one could be opened, for this reason.
    Failed(String),
}

/// The run that has a result first.
enum Race<T> {
    Original(T),
    Opening(OpenEnd),
}

impl StreamCall {
    pub(crate) fn new(core: Arc<GatewayCore>, request: CallerRequest) -> Self {
        let query = request.target_query(&core);
        let earlier_runs = request.earlier_runs();
        let count: Arc<RunCount> = Arc::default();
        count.begin_relayed(earlier_runs);
        let mut call = Self {
            owes_retry: false,
            core,
            request: Arc::new(request),
            count,
            query,
            next_takeover_at: Instant::now(),
            waited_ms: 0,
            has_begun: false,
        };
        if earlier_runs > 0 {
            call.expedite();
        }
        call
    }

    /// Returns the response of an endpoint once its first event has arrived, or a local
    /// reply.
    pub(crate) async fn run(mut self) -> Response<ReplyBody> {
        let after = self.request.head.last_event_id;
        match self.open(after).await {
            OpenEnd::Open(run) => StreamRelay::respond(self, *run),
            OpenEnd::Failure(response) => *response,
            OpenEnd::Refused(answer) => {
                record_local_end(&self.core, &self.request, &answer, self.runs());
                answer.into_response(&self.core, &self.request.id)
            }
        }
    }

    /// Opens the stream at an endpoint, starting after event `after`.
    pub(crate) async fn open(&mut self, after: Option<u64>) -> OpenEnd {
        loop {
            if let Some(answer) = self.request.quarantine_reply(&self.core, self.own_runs()) {
                return OpenEnd::Refused(answer);
            }
            if self.core.is_severed(&self.query.pool.service)
                && let Some(end) = self.relay(after).await
            {
                return end;
            }
            let reserved = match ReservedTarget::reserve(&self.core, &self.query).await {
                Ok(reserved) => reserved,
                Err(_)
                    if self.core.misses_most(&self.query.pool)
                        && let Some(end) = self.relay(after).await =>
                {
                    return end;
                }
                Err(reason) if self.own_runs() == 0 => {
                    return OpenEnd::Refused(self.request.refusal(&self.core, reason));
                }
                Err(reason) => {
                    let reason = format!("no other endpoint available: {reason}");
                    let answer = LocalReply::unknown(StatusCode::BAD_GATEWAY, reason);
                    return OpenEnd::Refused(answer);
                }
            };
            // The request may have waited for its slot.
            if let Some(answer) = self.request.quarantine_reply(&self.core, self.own_runs()) {
                return OpenEnd::Refused(answer);
            }
            if std::mem::take(&mut self.owes_retry) && !self.core.try_take_retry() {
                let reason = "the retry budget is used up";
                return OpenEnd::Refused(self.request.retry_refusal(self.own_runs(), reason));
            }
            if self.runs() == 0 {
                self.waited_ms = self.request.age_ms();
            }
            let endpoint = reserved.target.endpoint.clone();
            self.query.record_try(&reserved.target);
            let end = match self.attempt(reserved, after).await {
                Ok(end) => end,
                Err(end) => return end,
            };
            match end {
                AttemptEnd::Open(run) => return OpenEnd::Open(run),
                AttemptEnd::Failure(response) => return OpenEnd::Failure(response),
                AttemptEnd::NotRun(error) => {
                    if let Some(answer) = self.settle_not_run(&endpoint, &error) {
                        if !error.was_sent
                            && let Some(end) = self.relay(after).await
                        {
                            return end;
                        }
                        return OpenEnd::Refused(answer);
                    }
                }
                AttemptEnd::MayHaveRun(error) => {
                    if !self.may_retry_now() {
                        return OpenEnd::Refused(self.request.unknown_reply(&error));
                    }
                    self.record_retry(&endpoint, &error);
                    self.prepare_retry();
                }
            }
        }
    }

    /// Opens the stream through a peer; returns `None` if it may not be or none took it.
    async fn relay(&mut self, after: Option<u64>) -> Option<OpenEnd> {
        let runs = self.runs();
        let attempts = self.request.attempts_left(runs);
        if attempts == 0 || !self.request.may_be_relayed() {
            return None;
        }
        // No retry is taken for an attempt that cannot be made.
        if !relay_call::has_peer(&self.core, &self.request.pool.service) {
            return None;
        }
        if std::mem::take(&mut self.owes_retry) && !self.core.try_take_retry() {
            let reason = "the retry budget is used up";
            let reply = self.request.retry_refusal(self.own_runs(), reason);
            return Some(OpenEnd::Refused(reply));
        }
        // The peer may make them all, also if this router does not hear of it.
        self.count.begin_relayed(attempts);
        let relayed = relay_call::relay(&self.core, &self.request, runs, after);
        match relayed.await {
            RelayEnd::NoPeer => {
                self.count.record_not_relayed(attempts);
                None
            }
            RelayEnd::Lost(error) => Some(OpenEnd::Refused(self.request.unknown_reply(&error))),
            RelayEnd::Answered(relayed) => Some(
                relay_stream::open(
                    &self.core.caller_memory.bodies,
                    &self.request,
                    *relayed,
                    self.has_begun,
                )
                .await,
            ),
        }
    }

    /// Prepares the next attempt after one that was not executed; returns the reply if there
    /// is none.
    fn settle_not_run(&mut self, endpoint: &EndpointId, error: &CallError) -> Option<LocalReply> {
        self.owes_retry = error.was_sent;
        let is_allowed = !error.was_sent || self.core.has_retry();
        if self.count.unexecuted() >= MAX_UNEXECUTED_ATTEMPTS || !is_allowed {
            return Some(self.request.not_run_reply(self.own_runs(), error));
        }
        self.record_retry(endpoint, error);
        None
    }

    /// Returns the number of attempts in which the request may have been executed, those in
    /// progress included.
    pub(crate) fn runs(&self) -> u32 {
        self.count.runs()
    }

    /// Returns the number of those attempts that this router has made.
    fn own_runs(&self) -> u32 {
        self.runs().saturating_sub(self.request.earlier_runs())
    }

    /// Returns whether the route allows the stream to be reopened at another endpoint.
    pub(crate) fn may_retry(&self) -> bool {
        self.request.route.is_repeatable() && self.runs() < self.request.route.max_attempts
    }

    /// Returns whether the stream may be reopened at another endpoint now.
    pub(crate) fn may_retry_now(&self) -> bool {
        self.may_retry() && Instant::now() < self.request.deadline && self.core.has_retry()
    }

    /// Expedites the next attempt and lets it take a retry from the budget once it has a slot.
    pub(crate) fn prepare_retry(&mut self) {
        self.owes_retry = true;
        self.expedite();
    }

    /// Makes the next attempt precede requests that have not started, and limits its wait for a
    /// slot to [`MAX_RESUME_WAIT`].
    fn expedite(&mut self) {
        self.query.is_resumed = true;
        self.query.queue_deadline = self.request.deadline.min(Instant::now() + MAX_RESUME_WAIT);
    }

    /// Sends the request to `reserved`, and elsewhere as well while that endpoint is silent.
    ///
    /// Returns the end of the attempt, or as `Err` the result of another attempt that has
    /// taken its place.
    async fn attempt(
        &mut self,
        reserved: ReservedTarget,
        after: Option<u64>,
    ) -> Result<AttemptEnd, OpenEnd> {
        let guard = EndpointGuard::new(&self.core, reserved, &self.request);
        let watch = SilenceWatch {
            endpoint: guard.endpoint().clone(),
            signal: guard.silence_signal(),
            idle_deadline: None,
        };
        let attempt = StreamAttempt {
            core: Arc::clone(&self.core),
            request: Arc::clone(&self.request),
            after,
            is_continuation: self.has_begun,
            count: Arc::clone(&self.count),
        };
        let mut attempt = pin!(attempt.run(guard));
        match self
            .wait_or_take_over(after, attempt.as_mut(), watch, AttemptEnd::is_lost)
            .await
        {
            WaitEnd::Original(end) => Ok(end),
            WaitEnd::TakenOver { run, .. } => Err(OpenEnd::Open(run)),
        }
    }

    /// Waits for the next output of `original`, the run at an endpoint. While that endpoint is
    /// silent, tries to open the stream elsewhere, again and again.
    ///
    /// A silent endpoint may be sound, so without another one the stream stays where it is.
    /// `is_lost` tells whether an output of `original` is its end without a result.
    pub(crate) async fn wait_or_take_over<T>(
        &mut self,
        after: Option<u64>,
        mut original: Pin<&mut impl Future<Output = T>>,
        watch: SilenceWatch,
        is_lost: fn(&T) -> bool,
    ) -> WaitEnd<T> {
        let mut suspicion = None;
        loop {
            let wake_at = match suspicion {
                Some(_) => Some(self.next_takeover_at),
                None => watch.idle_deadline,
            };
            let spoke = async { Wakeup::Original(original.as_mut().await) };
            match spoke.or(watch.wait(wake_at)).await {
                Wakeup::Original(output) => return WaitEnd::Original(output),
                Wakeup::Silence(reason) => suspicion = Some(suspicion.unwrap_or(reason)),
            }
            if Instant::now() < self.next_takeover_at {
                continue;
            }
            match self.take_over(after, original.as_mut(), is_lost).await {
                TakeoverEnd::Original(output) => return WaitEnd::Original(output),
                TakeoverEnd::Opened(run) => {
                    let reason = suspicion.unwrap_or_default();
                    return WaitEnd::TakenOver { run, reason };
                }
                TakeoverEnd::Failed(obstacle) => {
                    self.record_failed_takeover(&watch.endpoint, &obstacle);
                }
            }
        }
    }

    /// Tries to open the stream elsewhere while its endpoint is silent.
    ///
    /// `original` goes on until the new run has its first event, so a failed takeover costs the
    /// caller nothing.
    async fn take_over<T>(
        &mut self,
        after: Option<u64>,
        original: Pin<&mut impl Future<Output = T>>,
        is_lost: fn(&T) -> bool,
    ) -> TakeoverEnd<T> {
        self.next_takeover_at = Instant::now() + TAKEOVER_RETRY_DELAY;
        if !self.may_retry_now() {
            return TakeoverEnd::Failed("no further run is allowed".to_owned());
        }
        self.prepare_retry();
        let mut opening = self.open_boxed(after);
        let spoke = async { Race::Original(original.await) };
        let opened = async { Race::Opening(opening.as_mut().await) };
        match spoke.or(opened).await {
            // The end of the original is handled as if there had been no takeover: the stream may
            // wait for a slot anew.
            Race::Original(output) if is_lost(&output) => match opening.await {
                OpenEnd::Open(run) => TakeoverEnd::Opened(run),
                OpenEnd::Failure(_) | OpenEnd::Refused(_) => TakeoverEnd::Original(output),
            },
            Race::Original(output) => TakeoverEnd::Original(output),
            // An engine that ends its answer at once proves nothing about the rest of the stream.
            Race::Opening(OpenEnd::Open(run)) if run.first.is_none() => {
                TakeoverEnd::Failed("the new run has no event".to_owned())
            }
            Race::Opening(OpenEnd::Open(run)) => TakeoverEnd::Opened(run),
            Race::Opening(OpenEnd::Failure(response)) => {
                TakeoverEnd::Failed(format!("the new run got status {}", response.status()))
            }
            Race::Opening(OpenEnd::Refused(answer)) => TakeoverEnd::Failed(answer.reason),
        }
    }

    /// Calls [`Self::open`], which calls itself through [`Self::take_over`].
    fn open_boxed(
        &mut self,
        after: Option<u64>,
    ) -> Pin<Box<dyn Future<Output = OpenEnd> + Send + '_>> {
        Box::pin(self.open(after))
    }

    /// Logs that a stream stays at a silent endpoint.
    fn record_failed_takeover(&self, endpoint: &EndpointId, reason: &str) {
        self.core.log.write(
            LogKind::Suspicion,
            json!({
                "request": self.request.id,
                "route": self.request.route.name,
                "endpoint": endpoint,
                "cause": "silence",
                "verdict": "waiting",
                "reason": reason,
                "runs": self.runs(),
                "age_ms": self.request.age_ms(),
            }),
        );
    }

    fn record_retry(&self, endpoint: &EndpointId, error: &CallError) {
        self.core.metrics.retries.inc();
        self.core.log.write(
            LogKind::Retry,
            json!({
                "request": self.request.id,
                "route": self.request.route.name,
                "from": endpoint,
                "reason": error.to_string(),
                "runs": self.runs(),
                "age_ms": self.request.age_ms(),
                "fingerprint": self.request.fingerprint,
                "prompt_parts": self.request.head.shared_prompt_parts[..],
            }),
        );
    }
}
