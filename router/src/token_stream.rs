//! Passes an engine's stream on to the caller and resumes it when it is lost.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use jujuberoad::ids::TargetId;
use jujuberoad::outcome::Outcome;
use jujuberoad::routing::StreamLedger;
use jujuberoad::routing::StreamStep;
use jujuberoad_node::http::BodyError;
use jujuberoad_node::http::ReplyBody;
use jujuberoad_node::runtime;
use smol::channel;
use smol::channel::Sender;
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

/// Tokens that wait for a slow caller before the engine's stream is held back.
const TOKENS_AHEAD: usize = 64;

/// Times that one stream is resumed. Each needs a slot, so that resumed streams
/// never overload what is left after a loss.
const MAX_RESUMES: u32 = 4;

/// Where a stream goes on after it has been lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResumePoint {
    /// Index of the token that is to come next.
    pub(crate) from: u64,
    /// Text of the tokens before it.
    pub(crate) text: String,
}

/// Carries the tokens of one request to its caller.
pub(crate) struct TokenStream {
    call: Arc<ModelCall>,
    ledger: StreamLedger,
    text: String,
    reader: TokenReader,
    held: HeldSlot,
    sender: Sender<Bytes>,
    resumes: u32,
}

/// Why the caller gets no further token.
enum StreamEnd {
    /// The answer is whole.
    Whole,
    /// The caller has gone.
    CallerGone,
    /// The stream was lost and could not be resumed.
    Lost(ProblemReply),
}

impl TokenStream {
    /// Starts to carry an open stream; returns the body of the answer.
    pub(crate) fn start(call: Arc<ModelCall>, stream: OpenStream) -> ReplyBody {
        let (sender, receiver) = channel::bounded(TOKENS_AHEAD);
        let ledger = StreamLedger::new(call.request.id.clone());
        let OpenStream {
            held,
            reader,
            first,
        } = stream;
        let carrier = Self {
            call,
            ledger,
            text: String::new(),
            reader,
            held,
            sender,
            resumes: 0,
        };
        runtime::spawn(carrier.run(first));
        let frames =
            futures_lite::StreamExt::map(receiver, |bytes| Ok::<_, BodyError>(Frame::data(bytes)));
        BodyExt::boxed(StreamBody::new(frames))
    }

    async fn run(mut self, first: TokenEvent) {
        let end = self.carry(first).await;
        let (request, target) = (&self.call.request.id, &self.held.target().target);
        match end {
            StreamEnd::Whole => {
                let _ = self.sender.send(event_bytes(DONE_DATA)).await;
                info!("end: request={request} target={target} outcome=answered");
                self.call.core.metrics.count("streams.answered");
            }
            StreamEnd::CallerGone => info!("end: request={request} target={target} caller gone"),
            StreamEnd::Lost(problem) => {
                warn!(
                    "end: request={request} target={target} outcome={}",
                    problem.outcome
                );
                let data = String::from_utf8_lossy(&problem.to_json(request)).into_owned();
                let event = format!("event: error\ndata: {data}\n\n");
                let _ = self.sender.send(event.into()).await;
                self.call.core.metrics.count("streams.lost");
            }
        }
    }

    async fn carry(&mut self, first: TokenEvent) -> StreamEnd {
        let mut event = first;
        loop {
            match event {
                TokenEvent::Done => return StreamEnd::Whole,
                TokenEvent::Token {
                    request,
                    index,
                    text,
                    data,
                } => match self.ledger.observe(&request, index) {
                    StreamStep::Forward => {
                        self.text.push_str(&text);
                        if self.sender.send(event_bytes(&data)).await.is_err() {
                            return StreamEnd::CallerGone;
                        }
                        event = self.next().await;
                    }
                    StreamStep::Repeated => event = self.next().await,
                    StreamStep::Broken => {
                        event = TokenEvent::Lost(format!("token {index} of {request} is not next"));
                    }
                },
                TokenEvent::Lost(reason) => match self.resume(&reason).await {
                    Ok(next) => event = next,
                    Err(problem) => return StreamEnd::Lost(problem),
                },
            }
        }
    }

    async fn next(&mut self) -> TokenEvent {
        let silent_at = deadline_after(Instant::now(), self.call.silence_limit_ms);
        self.reader
            .next(silent_at.min(self.call.request.deadline))
            .await
    }

    /// Opens the stream anew behind the last token; the old connection is closed.
    async fn resume(&mut self, reason: &str) -> Result<TokenEvent, ProblemReply> {
        let lost: TargetId = self.held.target().target.clone();
        let point = ResumePoint {
            from: self.ledger.next_index(),
            text: self.text.clone(),
        };
        let request = &self.call.request.id;
        info!(
            "resume: request={request} lost={lost} from={} reason={reason:?}",
            point.from
        );
        self.held.suspend();
        if self.resumes == MAX_RESUMES {
            return Err(lost_problem(reason));
        }
        self.resumes += 1;
        let opened = self.call.open_stream(Some(lost), point).await;
        let OpenStream {
            held,
            reader,
            first,
        } = opened.map_err(|_| lost_problem(reason))?;
        self.held = held;
        self.reader = reader;
        Ok(first)
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
    format!("data: {data}\n\n").into()
}
