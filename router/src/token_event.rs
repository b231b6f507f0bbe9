//! Reads and parses the events of an engine's stream.

use std::borrow::Cow;
use std::pin::Pin;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::EventStream;
use eventsource_stream::Eventsource;
use futures_lite::FutureExt;
use futures_lite::Stream;
use futures_lite::StreamExt;
use http_body_util::BodyExt;
use jujuberoad::routing::EventLimit;
use jujuberoad_node::http::BodyError;
use jujuberoad_node::http::ReplyBody;
use serde::Deserialize;
use smol::Timer;
use smol_str::SmolStr;
use smol_str::SmolStrBuilder;

/// Data of the event that ends a stream.
pub(crate) const DONE_DATA: &str = "[DONE]";

/// The next event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TokenEvent {
    /// One token.
    Token {
        /// Request id that the engine sent with it.
        request: SmolStr,
        /// Index of the token in the response, from 0.
        index: u64,
        /// Text of the token.
        text: SmolStr,
        /// Unparsed data of the event.
        data: String,
    },
    /// The response is complete.
    Done,
    /// No event has arrived by the deadline; the stream may go on.
    Silent,
    /// The stream was cut off or is malformed; the text says which.
    Lost(String),
}

type BodyPieces = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>> + Send>>;

/// Reads the events of one attempt.
pub(crate) struct TokenReader {
    events: EventStream<BodyPieces>,
    /// Fires no later than the current deadline, often earlier. Resetting it for each
    /// token would cost more than reading the token.
    timer: Timer,
    timer_at: Instant,
}

#[derive(Deserialize)]
struct ChunkData<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    jujube_index: u64,
    #[serde(borrow)]
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Deserialize)]
struct ChunkChoice<'a> {
    #[serde(borrow, default)]
    delta: ChunkDelta<'a>,
    #[serde(borrow, default)]
    text: Cow<'a, str>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta<'a> {
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

impl TokenReader {
    /// Returns a reader of the events in `body`, whose first event is due by `deadline`.
    pub(crate) fn new(body: ReplyBody, deadline: Instant) -> Self {
        // The parser keeps an event until it ends.
        let mut limit = EventLimit::default();
        let pieces = body.into_data_stream().map(move |piece| match piece {
            Ok(bytes) if !limit.observe(&bytes) => {
                Err(BodyError("an event does not end".to_owned()))
            }
            piece => piece,
        });
        let pieces: BodyPieces = Box::pin(pieces);
        Self {
            events: pieces.eventsource(),
            timer: Timer::at(deadline),
            timer_at: deadline,
        }
    }

    /// Returns the next event, or `Silent` if none arrives by `deadline`.
    ///
    /// Cancel-safe: no event is lost if the future is dropped.
    pub(crate) async fn next(&mut self, deadline: Instant) -> TokenEvent {
        if deadline < self.timer_at {
            self.timer.set_at(deadline);
            self.timer_at = deadline;
        }
        let Self {
            events,
            timer,
            timer_at,
        } = self;
        let timeout = async {
            loop {
                (&mut *timer).await;
                if Instant::now() >= deadline {
                    return TokenEvent::Silent;
                }
                timer.set_at(deadline);
                *timer_at = deadline;
            }
        };
        let read = async {
            match events.next().await {
                None => {
                    TokenEvent::Lost("the stream ended before the response was complete".to_owned())
                }
                Some(Err(error)) => TokenEvent::Lost(error.to_string()),
                Some(Ok(event)) if event.data == DONE_DATA => TokenEvent::Done,
                Some(Ok(event)) => parse_event(event.data),
            }
        };
        read.or(timeout).await
    }
}

fn parse_event(data: String) -> TokenEvent {
    let chunk: ChunkData<'_> = match serde_json::from_str(&data) {
        Ok(chunk) => chunk,
        Err(error) => return TokenEvent::Lost(format!("malformed event: {error}")),
    };
    let request = SmolStr::from(chunk.id.as_ref());
    let index = chunk.jujube_index;
    let [choice] = &chunk.choices;
    let mut text = SmolStrBuilder::new();
    text.push_str(&choice.delta.content);
    text.push_str(&choice.text);
    TokenEvent::Token {
        request,
        index,
        text: text.finish(),
        data,
    }
}
