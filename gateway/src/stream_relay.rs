//! Forwards the events of a stream to the caller and resumes the stream after a failure.

use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use jujuberoad::routing::WholeEvent;
use jujuberoad_node::http::BodyError;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::runtime::LogKind;
use serde_json::json;

use crate::call_deadline::timeout_at;
use crate::event_source::EventSource;
use crate::event_source::SourceItem;
use crate::silence_watch::SilenceWatch;
use crate::stream_attempt::OpenStream;
use crate::stream_call::StreamCall;
use crate::stream_end::OpenEnd;
use crate::stream_end::WaitEnd;
use crate::stream_guard::StreamGuard;

/// Time without events after which a stream is taken over by another endpoint, if one is
/// free, even if its group is healthy, because the connection may be dead. Callers disconnect
/// after 2 s.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(900);

/// Relays one stream to its caller; dropped with the response body if the caller
/// disconnects.
pub(crate) struct StreamRelay {
    call: StreamCall,
    guard: Box<dyn StreamGuard>,
    source: EventSource,
    first: Option<Vec<WholeEvent>>,
    last_event: Option<u64>,
    sent_events: u64,
    resumes: u32,
    first_ms: u64,
    last_sent_at: Instant,
    longest_gap_ms: u64,
    has_ended: bool,
}

impl StreamRelay {
    /// Returns the response to the caller, with the response head of the first endpoint.
    pub(crate) fn respond(mut call: StreamCall, run: OpenStream) -> Response<ReplyBody> {
        let OpenStream {
            guard,
            parts,
            source,
            first,
        } = run;
        call.has_begun = true;
        let first_ms = call.request.age_ms();
        call.core.metrics.first_event_ms.observe(first_ms as f64);
        let relay = Self {
            last_event: call.request.head.last_event_id,
            call,
            guard,
            source,
            first,
            sent_events: 0,
            resumes: 0,
            first_ms,
            last_sent_at: Instant::now(),
            longest_gap_ms: 0,
            has_ended: false,
        };
        let frames = futures_lite::stream::unfold(relay, |mut relay| async move {
            let item = relay.next_bytes().await?;
            Some((item.map(Frame::data), relay))
        });
        Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(frames)))
    }

    /// Returns the next bytes; `None` after the end, or an error if the stream failed and
    /// could not be resumed.
    async fn next_bytes(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.has_ended {
            return None;
        }
        loop {
            let item = match self.first.take() {
                Some(events) => SourceItem::Events(events),
                None => self.next_item().await,
            };
            match item {
                SourceItem::Events(events) => {
                    let bytes = self.forward(events);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                SourceItem::Ended => {
                    self.guard.record_complete();
                    self.end("answered", "complete");
                    return None;
                }
                SourceItem::Expired => {
                    return Some(Err(self.end_broken("deadline passed".to_owned())));
                }
                SourceItem::Lost(reason) => {
                    self.guard.record_lost();
                    if let Err(reason) = self.resume(&reason).await {
                        return Some(Err(self.end_broken(reason)));
                    }
                }
            }
        }
    }

    /// Ends the stream and returns the error for the caller.
    fn end_broken(&mut self, reason: String) -> BodyError {
        self.end("broken", &reason);
        BodyError(reason)
    }

    /// Returns the next item of the stream, which is taken over by another endpoint if its own
    /// one falls silent.
    async fn next_item(&mut self) -> SourceItem {
        let watch = SilenceWatch {
            endpoint: self.guard.place().clone(),
            signal: self.guard.silence_signal(),
            idle_deadline: Some(Instant::now() + STREAM_IDLE_TIMEOUT),
        };
        let waited = {
            let deadline = self.call.request.deadline;
            let item = async {
                let item = timeout_at(deadline, self.source.next()).await;
                item.unwrap_or(SourceItem::Expired)
            };
            let (call, after) = (&mut self.call, self.last_event);
            call.wait_or_take_over(after, pin!(item), watch, SourceItem::is_lost)
                .await
        };
        match waited {
            WaitEnd::Original(item) => item,
            WaitEnd::TakenOver { run, reason } => {
                self.switch_to(*run, reason);
                SourceItem::Events(self.first.take().unwrap_or_default())
            }
        }
    }

    /// Returns the bytes of the events that the caller has not received yet.
    fn forward(&mut self, events: Vec<WholeEvent>) -> Bytes {
        self.guard.observe_event();
        let mut bytes = BytesMut::new();
        for event in events {
            if let Some(id) = event.id {
                if self.last_event.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_event = Some(id);
            }
            self.sent_events += 1;
            bytes.extend_from_slice(&event.bytes);
        }
        let now = Instant::now();
        let gap_ms = now.duration_since(self.last_sent_at).as_millis() as u64;
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_sent_at = now;
        bytes.freeze()
    }

    /// Reopens an interrupted stream after the last forwarded event.
    async fn resume(&mut self, reason: &str) -> Result<(), String> {
        if Instant::now() >= self.call.request.deadline {
            return Err("deadline passed".to_owned());
        }
        if !self.call.may_retry_now() {
            return Err(format!("{reason}; no further run is allowed"));
        }
        self.call.prepare_retry();
        match self.call.open(self.last_event).await {
            OpenEnd::Open(run) => {
                self.switch_to(*run, reason);
                Ok(())
            }
            end => Err(format!("{reason}; {}", failure_text(&end))),
        }
    }

    /// Continues with another run.
    fn switch_to(&mut self, run: OpenStream, reason: &str) {
        self.resumes += 1;
        self.call.core.metrics.resumes.inc();
        self.call.core.log.write(
            LogKind::Resume,
            json!({
                "request": self.call.request.id,
                "from": self.guard.place(),
                "to": run.guard.place(),
                "after_event": self.last_event,
                "reason": reason,
                "silent_ms": self.last_sent_at.elapsed().as_millis() as u64,
                "run_ms": self.guard.run_ms(),
                "fingerprint": self.call.request.fingerprint,
                "prompt_parts": self.call.request.head.shared_prompt_parts[..],
            }),
        );
        self.guard = run.guard;
        self.source = run.source;
        self.first = run.first;
    }

    fn end(&mut self, outcome: &str, reason: &str) {
        self.has_ended = true;
        let request = &self.call.request;
        let core = &self.call.core;
        core.metrics
            .record_end(&request.route, outcome, request.age_ms());
        let kind = if outcome == "answered" {
            LogKind::Answered
        } else {
            LogKind::Failed
        };
        core.log.write(
            kind,
            json!({
                "request": request.id,
                "route": request.route.name,
                "team": request.team,
                "model": request.head.model,
                "endpoint": self.guard.place(),
                "group": self.guard.group(),
                "outcome": outcome,
                "reason": reason,
                "runs": self.call.runs(),
                "resumes": self.resumes,
                "events": self.sent_events,
                "waited_ms": self.call.waited_ms,
                "first_ms": self.first_ms,
                "longest_gap_ms": self.longest_gap_ms,
                "run_ms": self.guard.run_ms(),
                "total_ms": request.age_ms(),
                "prompt_tokens": request.head.prompt_tokens,
                "prompt_parts": request.head.shared_prompt_parts[..],
                "config": request.config_version,
            }),
        );
    }
}

/// Returns why a stream could not be opened.
fn failure_text(end: &OpenEnd) -> String {
    match end {
        OpenEnd::Open(_) => "the stream is open".to_owned(),
        OpenEnd::Failure(response) => {
            format!("the resume attempt returned status {}", response.status())
        }
        OpenEnd::Refused(answer) => answer.reason.clone(),
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end("caller_gone", "the caller closed its connection");
        }
    }
}
