//! Reads server-sent events from the response body of an endpoint.

use bytes::Bytes;
use http_body_util::BodyExt;
use jujuberoad::routing::EventSplitter;
use jujuberoad::routing::WholeEvent;
use jujuberoad_node::http::PooledBody;

/// The next item of a stream.
pub(crate) enum SourceItem {
    /// Complete events that have arrived since the last item.
    Events(Vec<WholeEvent>),
    /// The stream ended after a complete event.
    Ended,
    /// The stream was interrupted, with the reason.
    Lost(String),
    /// The request's deadline has passed.
    Expired,
}

impl SourceItem {
    /// Returns whether the stream cannot go on.
    pub(crate) fn is_lost(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Expired)
    }
}

/// The body of an endpoint's response, split into events.
pub(crate) struct EventSource {
    body: PooledBody,
    splitter: EventSplitter,
    /// Whether each further event must have an id, because those before have one.
    needs_ids: bool,
    /// Whether an event without an id has come nevertheless.
    is_foreign: bool,
}

impl EventSource {
    pub(crate) fn new(body: PooledBody) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            needs_ids: false,
            is_foreign: false,
        }
    }

    /// Reads the body of a run that continues a stream whose events have ids. Text of another
    /// kind, such as an error, would stand in the middle of that stream.
    pub(crate) fn new_continuation(body: PooledBody) -> Self {
        Self {
            needs_ids: true,
            ..Self::new(body)
        }
    }

    /// Waits for the next item. Cancel-safe: no bytes are lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> SourceItem {
        loop {
            let mut events = Vec::new();
            while !self.is_foreign
                && let Some(event) = self.splitter.next_event()
            {
                if event.id.is_none() && self.needs_ids && !event.is_comment() {
                    self.is_foreign = true;
                    break;
                }
                self.needs_ids |= event.id.is_some();
                events.push(event);
            }
            if !events.is_empty() {
                return SourceItem::Events(events);
            }
            if self.is_foreign {
                return SourceItem::Lost("an event has no id".to_owned());
            }
            if self.splitter.is_oversized() {
                return SourceItem::Lost("an event does not end".to_owned());
            }
            match self.body.frame().await {
                None if self.splitter.has_partial_event() => {
                    return SourceItem::Lost("stream ended in the middle of an event".to_owned());
                }
                None => return SourceItem::Ended,
                Some(Err(error)) => return SourceItem::Lost(error.to_string()),
                Some(Ok(frame)) => {
                    let bytes: Bytes = frame.into_data().unwrap_or_default();
                    self.splitter.push(&bytes);
                }
            }
        }
    }
}
