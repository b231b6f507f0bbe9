//! Relays an engine's token stream to the caller and resumes it after a failure.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jujuberoad::ids::TargetId;
use jujuberoad::outcome::Outcome;
use jujuberoad::routing::SequenceChecker;
use jujuberoad::routing::StreamStep;
use jujuberoad_node::http::BodyError;
use jujuberoad_node::http::ReplyBody;
use spdlog::info;
use spdlog::warn;

use crate::caller_request::deadline_after;
use crate::held_slot::HeldSlot;
use crate::model_call::ModelCall;
use crate::model_call::OpenStream;
use crate::problem_reply::ProblemReply;
use crate::token_event::DONE_DATA;
use crate::token_event::TokenEvent;
use crate::token_event::TokenReader;

/// Maximum number of times that one stream is resumed. Each resumption acquires a slot,
/// so resumed streams cannot overload the targets that remain after a failure.
const MAX_RESUMES: u32 = 4;

/// Position at which a lost stream is resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResumePoint {
    /// Index of the next expected token.
    pub(crate) next_index: u64,
    /// Text of all tokens before it.
    pub(crate) text: String,
}

/// Relays the tokens of one request to its caller, on demand of the caller's reads.
///
/// When the caller disconnects, the stream is dropped. This releases the slot and
/// closes the connection to the engine, which signals the disconnect to it.
pub(crate) struct TokenStream {
    call: Arc<ModelCall>,
    checker: SequenceChecker,
    text: String,
    reader: TokenReader,
    slot: HeldSlot,
    first: Option<TokenEvent>,
    resumes: u32,
    has_ended: bool,
}

impl TokenStream {
    /// Returns the response body that relays `stream` to the caller.
    pub(crate) fn body(call: Arc<ModelCall>, stream: OpenStream) -> ReplyBody {
        let checker = SequenceChecker::new(call.request.id.clone());
        let OpenStream {
            slot,
            reader,
            first,
        } = stream;
        let stream = Self {
            call,
            checker,
            text: String::new(),
            reader,
            slot,
            first: Some(first),
            resumes: 0,
            has_ended: false,
        };
        let frames = futures_lite::stream::unfold(stream, |mut stream| async move {
            let bytes = stream.next_bytes().await?;
            Some((Ok::<_, BodyError>(Frame::data(bytes)), stream))
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    /// Returns the next bytes for the caller, or `None` after the end.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.has_ended {
            return None;
        }
        let mut event = match self.first.take() {
            Some(first) => first,
            None => self.next_event().await,
        };
        loop {
            event = match event {
                TokenEvent::Done => return Some(self.finish_complete()),
                TokenEvent::Token {
                    request,
                    index,
                    text,
                    data,
                } => match self.checker.observe(&request, index) {
                    StreamStep::Forward => {
                        self.text.push_str(&text);
                        return Some(event_bytes(&data));
                    }
                    StreamStep::Repeated => self.next_event().await,
                    StreamStep::Broken => {
                        let reason = format!("unexpected token {index} of request {request}");
                        TokenEvent::Lost(reason)
                    }
                },
                TokenEvent::Silent => self.outlast_silence().await,
                TokenEvent::Lost(reason) => match self.resume(&reason).await {
                    Ok(next) => next,
                    Err(problem) => return Some(self.finish_lost(&problem)),
                },
            };
        }
    }

    async fn next_event(&mut self) -> TokenEvent {
        let silence_deadline = deadline_after(Instant::now(), self.call.silence_timeout_ms);
        self.reader
            .next(silence_deadline.min(self.call.request.deadline))
            .await
    }

    /// Reopens the stream after the last relayed token and closes the old connection.
    async fn resume(&mut self, reason: &str) -> Result<TokenEvent, ProblemReply> {
        let Some((lost, point)) = self.begin_resume(reason) else {
            return Err(lost_problem(reason));
        };
        let opened = self.call.open_stream(Some(lost), point).await;
        Ok(self.replace(opened.map_err(|_| lost_problem(reason))?))
    }

    /// Returns the next event of a silent stream, or of the one that replaces it if it can be
    /// resumed sooner. Until then the silent stream is kept, since its engine may be sound.
    async fn outlast_silence(&mut self) -> TokenEvent {
        let deadline = self.call.request.deadline;
        if Instant::now() >= deadline {
            return TokenEvent::Lost("timed out waiting for a token".to_owned());
        }
        let Some((silent, point)) = self.begin_resume("no token arrived in time") else {
            return self.reader.next(deadline).await;
        };
        let call = Arc::clone(&self.call);
        let open = async { Err(call.open_stream(Some(silent), point).await) };
        let read = async {
            match self.reader.next(deadline).await {
                // Only the attempt to resume is left.
                TokenEvent::Lost(_) | TokenEvent::Silent => std::future::pending().await,
                event => Ok(event),
            }
        };
        match read.or(open).await {
            Ok(event) => event,
            Err(Ok(opened)) => self.replace(opened),
            Err(Err(_)) => self.next_event().await,
        }
    }

    /// Suspends the target; returns it and the position from which another one is to go on, or
    /// `None` if the stream must not be resumed again.
    fn begin_resume(&mut self, reason: &str) -> Option<(TargetId, ResumePoint)> {
        let target = self.slot.target().target.clone();
        let point = ResumePoint {
            next_index: self.checker.next_index(),
            text: self.text.clone(),
        };
        let request = &self.call.request.id;
        info!(
            "resume: request={request} lost={target} from={} reason={reason:?}",
            point.next_index
        );
        self.slot.suspend();
        if self.resumes == MAX_RESUMES {
            return None;
        }
        self.resumes += 1;
        Some((target, point))
    }

    /// Goes on with a reopened stream; returns its first event.
    fn replace(&mut self, opened: OpenStream) -> TokenEvent {
        let OpenStream {
            slot,
            reader,
            first,
        } = opened;
        self.slot = slot;
        self.reader = reader;
        first
    }

    fn finish_complete(&mut self) -> Bytes {
        self.has_ended = true;
        let (request, target) = (&self.call.request.id, &self.slot.target().target);
        info!("end: request={request} target={target} outcome=answered");
        self.call.core.metrics.count("streams.answered");
        event_bytes(DONE_DATA)
    }

    fn finish_lost(&mut self, problem: &ProblemReply) -> Bytes {
        self.has_ended = true;
        let (request, target) = (&self.call.request.id, &self.slot.target().target);
        warn!(
            "end: request={request} target={target} outcome={}",
            problem.outcome
        );
        self.call.core.metrics.count("streams.lost");
        let data = String::from_utf8_lossy(&problem.to_json(request)).into_owned();
        format!("event: error\ndata: {data}\n\n").into()
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        if !self.has_ended {
            info!("end: request={} caller disconnected", self.call.request.id);
        }
    }
}

fn lost_problem(reason: &str) -> ProblemReply {
    ProblemReply {
        status: hyper::StatusCode::BAD_GATEWAY,
        outcome: Outcome::Unknown,
        detail: format!("the stream was lost and could not be resumed: {reason}"),
        retry_at: None,
    }
}

fn event_bytes(data: &str) -> Bytes {
    let mut bytes = Vec::with_capacity(data.len() + "data: \n\n".len());
    bytes.extend_from_slice(b"data: ");
    bytes.extend_from_slice(data.as_bytes());
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
